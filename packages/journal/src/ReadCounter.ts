import type { ReadOutcome } from './ShardReader.js';
import type { ReadCounts } from './Types.js';

/** Counts the records that were read, by outcome. */
export class ReadCounter {
  private readonly numbers = {
    bodies: 0,
    voids: 0,
    repeats: 0,
    unknownKinds: 0,
    malformed: 0,
    gaps: 0,
  };

  /** The counts since the start of the process. */
  public get counts(): ReadCounts {
    return { ...this.numbers };
  }

  /** Counts a record by its outcome. */
  public count(outcome: ReadOutcome<unknown>): void {
    if (outcome.kind === 'body') this.numbers.bodies += 1;
    if (outcome.kind === 'void') this.numbers.voids += 1;
    if (outcome.kind === 'repeat') this.numbers.repeats += 1;
    if (outcome.kind !== 'skipped') return;
    if (outcome.reason === 'malformed') this.numbers.malformed += 1;
    else this.numbers.unknownKinds += 1;
  }

  /** Counts a gap in a stream. */
  public countGap(): void {
    this.numbers.gaps += 1;
  }
}
