import * as clock from '@limpettack/clock';

const systemClock = new clock.SystemClock();

/** Pauses and resumes processes. Operations of a paused process complete once it is resumed. */
export class ProcessPauses {
  private readonly waiting = new Map<string, (() => void)[]>();

  /** Pauses a process. */
  public pause(name: string): void {
    if (!this.waiting.has(name)) this.waiting.set(name, []);
  }

  /** Resumes a process. */
  public resume(name: string): void {
    const waiters = this.waiting.get(name) ?? [];
    this.waiting.delete(name);
    waiters.forEach((wake) => wake());
  }

  /** Resolves when the process is not paused. */
  public async waitUntilResumed(name: string): Promise<void> {
    const waiters = this.waiting.get(name);
    if (waiters === undefined) return;
    await new Promise<void>((resolve) => {
      waiters.push(resolve);
    });
  }

  /** Returns the clock of a process, whose sleeps end only while the process is not paused. */
  public clockOf(name: string): clock.Clock {
    return {
      now: () => systemClock.now(),
      timeOfDay: () => systemClock.timeOfDay(),
      sleep: async (durationMs, signal) => {
        await systemClock.sleep(durationMs, signal);
        await this.waitUntilResumed(name);
      },
      startTimer: (durationMs, onEnd) => systemClock.startTimer(durationMs, onEnd),
    };
  }
}
