import type * as clock from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';

/** Number of different targets that must crash before a request is quarantined. */
const CRASHES_TO_QUARANTINE = 2;

/** Maximum number of suspected requests held, and how long a suspicion lasts after a crash. */
const MAXIMUM_SUSPECTS = 10_000;
const SUSPICION_TTL_MS = 3_600_000;

/** Maximum number of quarantined requests held. */
const MAXIMUM_QUARANTINED = 10_000;

/** Each renewal doubles the length of a quarantine, up to this length. */
const MAXIMUM_QUARANTINE_MS = 3_600_000;

/** Minimum interval between two trials of a request whose quarantine has ended. */
const TRIAL_INTERVAL_MS = 5_000;

/** A target that crashed while running a request. */
export interface TargetCrash {
  /** Digest of the workspace and the request's content. */
  readonly fingerprint: string;
  readonly target: string;
  /** Time at which the call was sent, on this process's clock. */
  readonly sentAt: clock.Milliseconds;
}

interface Quarantine {
  readonly lengthMs: clock.Milliseconds;
  readonly endsAt: clock.Milliseconds;
  /** Until then the request is refused: until the quarantine has ended and the last trial is over. */
  readonly refusedUntil: clock.Milliseconds;
}

interface Suspicion {
  readonly targets: ReadonlySet<string>;
  readonly lastCrashAt: clock.Milliseconds;
}

/** A request that is quarantined, or was until its quarantine ended and no target has completed it. */
export interface QuarantinedRequest {
  readonly fingerprint: string;
  readonly lengthMs: clock.Milliseconds;
  /** Time until the quarantine ends; negative if it has ended. */
  readonly remainingMs: clock.Milliseconds;
}

/** Detects requests that crash the targets that run them. */
export class CrashFingerprints implements lifetime.Disposable {
  private readonly suspicions = new Map<string, Suspicion>();

  private readonly quarantines = new Map<string, Quarantine>();

  private readonly quarantineEmitter = new lifetime.Emitter<string>();

  /** Fires with a fingerprint that is quarantined because of crashes that this process observed. */
  public readonly onQuarantine = this.quarantineEmitter.event;

  /**
   * @param crashesToQuarantine Number of different targets that must crash for a quarantine.
   * @param quarantineMs Length of the first quarantine of a request. By default it has no end.
   */
  public constructor(
    private readonly time: clock.Clock,
    private readonly crashesToQuarantine = CRASHES_TO_QUARANTINE,
    private readonly quarantineMs: clock.Milliseconds = Number.POSITIVE_INFINITY,
  ) {}

  /** Whether a completed request would be evidence, because some are suspected or quarantined. */
  public get awaitsCompletions(): boolean {
    return this.suspicions.size > 0 || this.quarantines.size > 0;
  }

  /** Whether any request has been quarantined and has not been completed since. */
  public get hasQuarantined(): boolean {
    return this.quarantines.size > 0;
  }

  /** Whether a request is quarantined and must be refused. */
  public isQuarantined(fingerprint: string): boolean {
    return this.time.now() < (this.quarantines.get(fingerprint)?.endsAt ?? 0);
  }

  /** Length of the last quarantine of a request, in force or ended. 0 if it has none. */
  public quarantineLength(fingerprint: string): clock.Milliseconds {
    return this.quarantines.get(fingerprint)?.lengthMs ?? 0;
  }

  /**
   * Returns whether a request may run. When its quarantine has ended, single requests run as
   * trials: a crash renews the quarantine, a completed request lifts it.
   */
  public admit(fingerprint: string): boolean {
    const quarantine = this.quarantines.get(fingerprint);
    if (quarantine === undefined) return true;
    const now = this.time.now();
    if (now < quarantine.refusedUntil) return false;
    this.quarantines.set(fingerprint, { ...quarantine, refusedUntil: now + TRIAL_INTERVAL_MS });
    return true;
  }

  /** Whether a target has crashed while running the request. */
  public isSuspect(fingerprint: string): boolean {
    return this.suspicions.has(fingerprint);
  }

  /** Number of different targets that have crashed while they ran a suspected request. */
  public crashCount(fingerprint: string): number {
    return this.suspicions.get(fingerprint)?.targets.size ?? 0;
  }

  /** Whether a crash of a call sent at this time is evidence that a quarantine must be renewed. */
  public isFailedTrial(fingerprint: string, sentAt: clock.Milliseconds): boolean {
    const quarantine = this.quarantines.get(fingerprint);
    return quarantine !== undefined && sentAt >= quarantine.endsAt;
  }

  /** Records a crash. Returns true if the request is now quarantined. */
  public noteCrash(death: TargetCrash): boolean {
    const { fingerprint, sentAt, target } = death;
    if (this.quarantines.has(fingerprint)) {
      if (this.isFailedTrial(fingerprint, sentAt))
        this.addQuarantined(fingerprint, 2 * this.quarantineLength(fingerprint));
      return this.isQuarantined(fingerprint);
    }
    const now = this.time.now();
    const recentSuspicion = this.findRecent(fingerprint, now);
    // Equal requests that ran concurrently may be affected by the same fault, such as the loss of a
    // failure domain. Only a crash of a call sent after the last crash is independent evidence.
    if (recentSuspicion && sentAt < recentSuspicion.lastCrashAt) return false;
    const targets = new Set([...(recentSuspicion?.targets ?? []), target]);
    if (targets.size >= this.crashesToQuarantine) {
      this.addQuarantined(fingerprint);
      this.quarantineEmitter.fire(fingerprint);
      return true;
    }
    this.storeSuspicion(fingerprint, { targets, lastCrashAt: now });
    return false;
  }

  /** Notes that a target completed the request, so the request did not cause the earlier crash. */
  public noteCompleted(fingerprint: string): void {
    this.suspicions.delete(fingerprint);
  }

  /** Adds a suspect that a peer has reported, so that its completion is noticed. */
  public addSuspect(fingerprint: string): void {
    if (this.suspicions.has(fingerprint) || this.quarantines.has(fingerprint)) return;
    this.storeSuspicion(fingerprint, { targets: new Set(), lastCrashAt: this.time.now() });
  }

  /** Removes a suspicion and a quarantine. Returns whether there was one. */
  public release(fingerprint: string): boolean {
    const wasSuspect = this.suspicions.delete(fingerprint);
    return this.quarantines.delete(fingerprint) || wasSuspect;
  }

  /** All quarantined requests, oldest first. */
  public listQuarantined(): readonly QuarantinedRequest[] {
    const now = this.time.now();
    return [...this.quarantines].map(([fingerprint, { endsAt, lengthMs }]) => ({
      fingerprint,
      lengthMs,
      remainingMs: endsAt - now,
    }));
  }

  /**
   * Adds a quarantined fingerprint, such as one that was read from a peer or the journal.
   * @param remainingMs Time until the quarantine ends, if a part of it has passed.
   */
  public addQuarantined(
    fingerprint: string,
    lengthMs = this.quarantineMs,
    remainingMs = lengthMs,
  ): void {
    this.suspicions.delete(fingerprint);
    const previous = this.quarantines.get(fingerprint);
    const maximumMs = Math.max(MAXIMUM_QUARANTINE_MS, this.quarantineMs);
    const nextMs = Math.min(maximumMs, Math.max(lengthMs, previous?.lengthMs ?? 0));
    const leftMs = Math.min(nextMs, Math.max(0, remainingMs));
    const endsAt = Math.max(previous?.endsAt ?? 0, this.time.now() + leftMs);
    this.quarantines.delete(fingerprint);
    this.quarantines.set(fingerprint, { lengthMs: nextMs, endsAt, refusedUntil: endsAt });
    deleteOldest(this.quarantines, MAXIMUM_QUARANTINED);
  }

  /** @inheritdoc */
  public dispose(): void {
    this.quarantineEmitter.dispose();
  }

  private findRecent(fingerprint: string, now: clock.Milliseconds): Suspicion | undefined {
    const suspicion = this.suspicions.get(fingerprint);
    return suspicion && now - suspicion.lastCrashAt < SUSPICION_TTL_MS ? suspicion : undefined;
  }

  private storeSuspicion(fingerprint: string, suspicion: Suspicion): void {
    this.suspicions.delete(fingerprint);
    this.suspicions.set(fingerprint, suspicion);
    deleteOldest(this.suspicions, MAXIMUM_SUSPECTS);
  }
}

/** Deletes the oldest entry of a map that exceeds its maximum size. */
function deleteOldest(entries: Map<string, unknown>, maximum: number): void {
  const [oldest] = entries.keys();
  if (entries.size > maximum && oldest !== undefined) entries.delete(oldest);
}
