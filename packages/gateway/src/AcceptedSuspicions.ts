import type * as clock from '@limpettack/clock';

/** Suspicions older than this do not count against the share of a pool. */
const SUSPICION_LIFETIME_MS = 4_000;

/** The same suspicion from two VMs within this time counts once. */
const REPETITION_MS = 400;

/**
 * Share of a pool that may be suspected. If more of its targets fail, avoiding them would overload
 * the others.
 */
const MAXIMUM_SUSPECTED_SHARE = 0.25;

/** The suspicions of targets that a VM has accepted from its peers. */
export class AcceptedSuspicions {
  private readonly acceptedAt = new Map<string, clock.Milliseconds>();

  /** Returns whether a suspicion is accepted, given all targets of the pool, and records it. */
  public accept(target: string, pool: readonly string[], now: clock.Milliseconds): boolean {
    this.acceptedAt.forEach((at, id) => {
      if (now - at > SUSPICION_LIFETIME_MS) this.acceptedAt.delete(id);
    });
    const isRepeated =
      now - (this.acceptedAt.get(target) ?? Number.NEGATIVE_INFINITY) < REPETITION_MS;
    const others = pool.filter((id) => id !== target && this.acceptedAt.has(id));
    const maximum = Math.max(1, Math.floor(MAXIMUM_SUSPECTED_SHARE * pool.length));
    if (isRepeated || others.length >= maximum) return false;
    this.acceptedAt.set(target, now);
    return true;
  }
}
