import * as clock from '@limpettack/clock';

const systemClock = new clock.SystemClock();

/** Processes that stand still: nothing that they wait for arrives until they go on. */
export class Pauses {
  private readonly waiting = new Map<string, (() => void)[]>();

  /** Stops a process. */
  public pause(name: string): void {
    if (!this.waiting.has(name)) this.waiting.set(name, []);
  }

  /** Lets a process go on. */
  public resume(name: string): void {
    const waiters = this.waiting.get(name) ?? [];
    this.waiting.delete(name);
    waiters.forEach((wake) => wake());
  }

  /** Resolves when the process is not paused. */
  public async pass(name: string): Promise<void> {
    const waiters = this.waiting.get(name);
    if (waiters === undefined) return;
    await new Promise<void>((resolve) => {
      waiters.push(resolve);
    });
  }

  /** The clock of a process. */
  public clockOf(name: string): clock.Clock {
    return {
      now: () => systemClock.now(),
      timeOfDay: () => systemClock.timeOfDay(),
      sleep: async (span, signal) => {
        await systemClock.sleep(span, signal);
        await this.pass(name);
      },
      startTimer: (span, onEnd) => systemClock.startTimer(span, onEnd),
    };
  }
}
