import type { Clock, Milliseconds, Timer } from './Types.js';

interface Sleeper {
  readonly wakeAt: Milliseconds;
  readonly wake: () => void;
}

/** A clock for tests that moves only when it is advanced. */
export class ManualClock implements Clock {
  private reading: Milliseconds = 0;

  private sleepers: Sleeper[] = [];

  /** @inheritdoc */
  public now(): Milliseconds {
    return this.reading;
  }

  /** @inheritdoc */
  public timeOfDay(): Milliseconds {
    return this.reading;
  }

  /** @inheritdoc */
  public sleep(duration: Milliseconds, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      const wake = (): void => {
        signal?.removeEventListener('abort', wake);
        resolve();
      };
      this.sleepers.push({ wakeAt: this.reading + duration, wake });
      signal?.addEventListener('abort', wake, { once: true });
    });
  }

  /** @inheritdoc */
  public startTimer(duration: Milliseconds, onEnd: () => void): Timer {
    const sleeper = { wakeAt: this.reading + duration, wake: onEnd };
    this.sleepers.push(sleeper);
    return {
      cancel: () => {
        this.sleepers = this.sleepers.filter((other) => other !== sleeper);
      },
    };
  }

  /** Moves the clock forward by the given duration and wakes all sleepers that are due. */
  public advance(duration: Milliseconds): void {
    this.reading += duration;
    const due = this.sleepers.filter((sleeper) => sleeper.wakeAt <= this.reading);
    this.sleepers = this.sleepers.filter((sleeper) => sleeper.wakeAt > this.reading);
    due.forEach((sleeper) => sleeper.wake());
  }
}
