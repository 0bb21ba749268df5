import type * as clock from '@limpettack/clock';

/** Someone who waits for a condition. */
interface Waiter {
  readonly condition: () => boolean;
  readonly resolve: (holds: boolean) => void;
  timer?: clock.Timer;
}

/** Those who wait for conditions that only certain events can bring about. */
export class ConditionWaiters {
  private readonly waiters = new Set<Waiter>();

  public constructor(private readonly time: clock.Clock) {}

  /** Waits for a condition; resolves with whether it holds, at the latest after the time. */
  public wait(condition: () => boolean, timeoutMs: clock.Milliseconds): Promise<boolean> {
    if (condition()) return Promise.resolve(true);
    return new Promise((resolve) => {
      const waiter: Waiter = { condition, resolve };
      waiter.timer = this.time.startTimer(timeoutMs, () => {
        this.waiters.delete(waiter);
        resolve(condition());
      });
      this.waiters.add(waiter);
    });
  }

  /** Looks at all conditions again. Call after each event that may have changed one. */
  public check(): void {
    this.waiters.forEach((waiter) => {
      if (!waiter.condition()) return;
      waiter.timer?.cancel();
      this.waiters.delete(waiter);
      waiter.resolve(true);
    });
  }
}
