import type * as clock from '@limpettack/clock';

/** A program is remembered for so long after its last call. */
const REMEMBERED_MS = 20_000;

/** How often forgotten programs are looked for. */
const SWEEP_MS = 5_000;

/** The programs of one workspace whose calls this process has admitted. */
export class ProgramMemory {
  private readonly seenAt = new Map<string, clock.Milliseconds>();

  private sweptAt = 0;

  public knows(program: string): boolean {
    return this.seenAt.has(program);
  }

  public note(program: string, now: clock.Milliseconds): void {
    this.seenAt.set(program, now);
    if (now - this.sweptAt < SWEEP_MS) return;
    this.sweptAt = now;
    this.seenAt.forEach((at, known) => {
      if (now - at >= REMEMBERED_MS) this.seenAt.delete(known);
    });
  }
}
