import type * as clock from '@limpettack/clock';
import type { EventCount, EventPoint } from './Types.js';

/** Events over time with prefix sums, so that any window is counted in logarithmic time. */
export class EventSeries {
  private readonly times: readonly clock.Milliseconds[];

  /** At each index, the number of events in all points before it. */
  private readonly cumulativeCounts: readonly EventCount[];

  /** Creates a series from points in chronological order. */
  public constructor(points: readonly EventPoint[]) {
    this.times = points.map(({ at }) => at);
    const cumulativeCounts: EventCount[] = [{ good: 0, total: 0 }];
    points.forEach(({ good, total }, index) => {
      const previous = cumulativeCounts[index] ?? { good: 0, total: 0 };
      cumulativeCounts.push({ good: previous.good + good, total: previous.total + total });
    });
    this.cumulativeCounts = cumulativeCounts;
  }

  /** Counts the events in the window from `after` (excluded) to `to` (included). */
  public between(after: clock.Milliseconds, to: clock.Milliseconds): EventCount {
    const start = this.cumulativeCounts[this.countPointsUpTo(after)] ?? { good: 0, total: 0 };
    const end = this.cumulativeCounts[this.countPointsUpTo(to)] ?? { good: 0, total: 0 };
    return { good: end.good - start.good, total: end.total - start.total };
  }

  /** Number of points up to and including a time, by binary search. */
  private countPointsUpTo(time: clock.Milliseconds): number {
    let low = 0;
    let high = this.times.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if ((this.times[middle] ?? Number.POSITIVE_INFINITY) <= time) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
