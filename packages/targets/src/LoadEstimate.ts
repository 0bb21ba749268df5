import type * as clock from '@limpettack/clock';

/** How long the own counts are remembered, to be set against reports that lag. */
const HISTORY_MS = 10_000;

/** What a report says about a target's load. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  /** How much the report lags. */
  readonly ageMs: clock.Milliseconds;
}

interface OwnCount {
  readonly at: clock.Milliseconds;
  readonly count: number;
}

/** Own calls on a target, exactly, and those of other processes, from reports that lag. */
export class LoadEstimate {
  private own = 0;

  private others = 0;

  private history: OwnCount[] = [];

  public constructor(private readonly time: clock.Clock) {}

  /** Calls that this process runs. */
  public get ownInFlight(): number {
    return this.own;
  }

  /** Calls of other processes, as of the last report. */
  public get otherInFlight(): number {
    return this.others;
  }

  /** Notes a call that starts (1) or ends (-1). */
  public change(difference: 1 | -1): void {
    this.own += difference;
    const now = this.time.now();
    this.history.push({ at: now, count: this.own });
    const [, second] = this.history;
    if (second && second.at < now - HISTORY_MS) this.history.shift();
  }

  /** Takes a report in: what it counts beyond this process's calls of that moment is of others. */
  public learn(report: LoadReport): void {
    const reportedAt = this.time.now() - report.ageMs;
    const counted = this.history.findLast((entry) => entry.at <= reportedAt)?.count ?? 0;
    this.others = Math.max(0, report.running + report.waiting - counted);
  }
}
