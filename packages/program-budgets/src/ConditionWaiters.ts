import type * as clock from '@limpettack/clock';

/** A pending `wait` call. */
interface Waiter {
  readonly condition: () => boolean;
  readonly resolve: (holds: boolean) => void;
  timer?: clock.Timer;
}

/**
 * Lets callers wait until a condition holds. A condition is evaluated when the wait starts, at each
 * `check`, and at the timeout.
 */
export class ConditionWaiters {
  private readonly waiters = new Set<Waiter>();

  public constructor(private readonly time: clock.Clock) {}

  /**
   * Resolves with true once the condition holds. After the timeout, resolves with whether it holds
   * at that time.
   */
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

  /** Evaluates all pending conditions. Call after each event that may have changed one. */
  public check(): void {
    this.waiters.forEach((waiter) => {
      if (!waiter.condition()) return;
      waiter.timer?.cancel();
      this.waiters.delete(waiter);
      waiter.resolve(true);
    });
  }
}
