import type * as clock from '@limpettack/clock';

/** Load of an engine at a point in time. */
export interface LoadSample {
  readonly running: number;
  readonly waiting: number;
  readonly heldTokens: number;
}

interface TimedSample extends LoadSample {
  readonly takenAt: clock.Milliseconds;
}

const IDLE: LoadSample = { running: 0, waiting: 0, heldTokens: 0 };

/** Records the load of an engine and reports it with a lag. */
export class LoadHistory {
  private samples: TimedSample[] = [];

  public constructor(
    private readonly time: clock.Clock,
    private readonly lagMs: clock.Milliseconds,
  ) {}

  /** Adds a sample of the current load. */
  public add(sample: LoadSample): void {
    this.samples.push({ ...sample, takenAt: this.time.now() });
    const reportedIndex = this.findReportedIndex();
    // Samples older than the reported one are never reported again.
    if (reportedIndex > 0) this.samples.splice(0, reportedIndex);
  }

  /** The load as it was `lagMs` ago; zero when there is no sample that old. */
  public reported(): LoadSample {
    const sample = this.samples[this.findReportedIndex()];
    if (sample === undefined) return IDLE;
    const { running, waiting, heldTokens } = sample;
    return { running, waiting, heldTokens };
  }

  private findReportedIndex(): number {
    const laggedTime = this.time.now() - this.lagMs;
    return this.samples.findLastIndex((sample) => sample.takenAt <= laggedTime);
  }
}
