import type * as clock from '@limpettack/clock';

/** Load of an engine at one time. */
export interface LoadSample {
  readonly running: number;
  readonly waiting: number;
  readonly heldTokens: number;
}

interface TimedSample extends LoadSample {
  readonly takenAt: clock.Milliseconds;
}

const IDLE: LoadSample = { running: 0, waiting: 0, heldTokens: 0 };

/** Remembers an engine's load, so that it can be reported with a lag. */
export class LoadHistory {
  private samples: TimedSample[] = [];

  public constructor(
    private readonly time: clock.Clock,
    private readonly lagMs: clock.Milliseconds,
  ) {}

  /** Adds the present load. */
  public add(sample: LoadSample): void {
    this.samples.push({ ...sample, takenAt: this.time.now() });
    const shown = this.shownIndex();
    // The samples older than the shown one will never be shown again.
    if (shown > 0) this.samples.splice(0, shown);
  }

  /** The load as it was a lag ago. */
  public shown(): LoadSample {
    const sample = this.samples[this.shownIndex()];
    if (sample === undefined) return IDLE;
    const { running, waiting, heldTokens } = sample;
    return { running, waiting, heldTokens };
  }

  private shownIndex(): number {
    const until = this.time.now() - this.lagMs;
    return this.samples.findLastIndex((sample) => sample.takenAt <= until);
  }
}
