import type * as clock from '@limpettack/clock';

/** A program without a call for so long counts as ended or as waiting for its tools. */
const ACTIVE_MS = 1_500;

/** A program is known for so long, so that its next call is not taken for its first. */
const KNOWN_MS = 20_000;

/** How often forgotten programs are looked for. */
const SWEEP_MS = 1_000;

/** The programs of one workspace that this process has seen. */
export class ProgramActivity {
  private readonly seenAt = new Map<string, clock.Milliseconds>();

  private sweptAt = 0;

  public isKnown(program: string, now: clock.Milliseconds): boolean {
    const at = this.seenAt.get(program);
    return at !== undefined && now - at < KNOWN_MS;
  }

  public note(program: string, now: clock.Milliseconds): void {
    // The latest come last, so that the active ones can be counted from the end.
    this.seenAt.delete(program);
    this.seenAt.set(program, now);
    if (now - this.sweptAt > SWEEP_MS) this.sweep(now);
  }

  public countActive(now: clock.Milliseconds): number {
    let count = 0;
    this.seenAt.forEach((at) => {
      if (now - at < ACTIVE_MS) count += 1;
    });
    return count;
  }

  private sweep(now: clock.Milliseconds): void {
    this.sweptAt = now;
    this.seenAt.forEach((at, program) => {
      if (now - at >= KNOWN_MS) this.seenAt.delete(program);
    });
  }
}
