import type * as clock from '@limpettack/clock';

/** A program is removed after this time without an admitted call. */
const RETENTION_MS = 20_000;

/** Minimum interval between removals of expired programs. */
const SWEEP_MS = 5_000;

/** The programs of one workspace whose calls this process has recently admitted. */
export class RecentPrograms {
  private readonly seenAt = new Map<string, clock.Milliseconds>();

  private sweptAt = 0;

  /** Whether the program is known. An expired one is known until a later call removes it. */
  public has(program: string): boolean {
    return this.seenAt.has(program);
  }

  /** Whether a call of the program was admitted within the retention period. */
  public isRetained(program: string, now: clock.Milliseconds): boolean {
    const seenAt = this.seenAt.get(program);
    return seenAt !== undefined && now - seenAt < RETENTION_MS;
  }

  public add(program: string, now: clock.Milliseconds): void {
    this.seenAt.set(program, now);
    if (now - this.sweptAt < SWEEP_MS) return;
    this.sweptAt = now;
    this.seenAt.forEach((at, known) => {
      if (now - at >= RETENTION_MS) this.seenAt.delete(known);
    });
  }
}
