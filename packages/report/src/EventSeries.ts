import type * as clock from '@limpettack/clock';
import type { EventCount, EventPoint } from './Types.js';

/** Events over time, summed so that any window is counted in logarithmic time. */
export class EventSeries {
  private readonly times: readonly clock.Milliseconds[];

  /** The events of all points before the index. */
  private readonly sums: readonly EventCount[];

  /** Takes points in the order of time. */
  public constructor(points: readonly EventPoint[]) {
    this.times = points.map(({ at }) => at);
    const sums: EventCount[] = [{ good: 0, total: 0 }];
    points.forEach(({ good, total }, index) => {
      const before = sums[index] ?? { good: 0, total: 0 };
      sums.push({ good: before.good + good, total: before.total + total });
    });
    this.sums = sums;
  }

  /** The events after a time, up to and with another one. */
  public between(after: clock.Milliseconds, to: clock.Milliseconds): EventCount {
    const start = this.sums[this.countUpTo(after)] ?? { good: 0, total: 0 };
    const end = this.sums[this.countUpTo(to)] ?? { good: 0, total: 0 };
    return { good: end.good - start.good, total: end.total - start.total };
  }

  private countUpTo(time: clock.Milliseconds): number {
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
