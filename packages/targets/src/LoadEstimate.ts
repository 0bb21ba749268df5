import type * as clock from '@limpettack/clock';

/** How long counts of own calls are held, for comparison with delayed reports. */
const HISTORY_MS = 10_000;

/** A target's report of its load. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  /** Age of the reported values. */
  readonly ageMs: clock.Milliseconds;
}

interface OwnCount {
  readonly at: clock.Milliseconds;
  readonly count: number;
}

/** Counts the calls of this process on a target and estimates those of others from its reports. */
export class LoadEstimate {
  private ownCount = 0;

  private otherCount = 0;

  private history: OwnCount[] = [];

  public constructor(private readonly time: clock.Clock) {}

  /** Number of calls that this process is running on the target. */
  public get ownInFlight(): number {
    return this.ownCount;
  }

  /** Number of calls of other processes, as of the last report. */
  public get otherInFlight(): number {
    return this.otherCount;
  }

  /** Notes that a call of this process starts (1) or ends (-1). */
  public changeOwnCount(difference: 1 | -1): void {
    this.ownCount += difference;
    const now = this.time.now();
    this.history.push({ at: now, count: this.ownCount });
    const [, second] = this.history;
    if (second && second.at < now - HISTORY_MS) this.history.shift();
  }

  /** Applies a report: calls beyond this process's own at that time belong to other processes. */
  public applyReport(report: LoadReport): void {
    const reportedAt = this.time.now() - report.ageMs;
    const ownAtReport = this.history.findLast((entry) => entry.at <= reportedAt)?.count ?? 0;
    this.otherCount = Math.max(0, report.running + report.waiting - ownAtReport);
  }
}
