import type { Clock, Milliseconds, Timer } from './Types.js';

interface Sleeper {
  readonly wakeAt: Milliseconds;
  readonly wake: () => void;
}

/** A clock that moves only when a test advances it. */
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
  public sleep(span: Milliseconds, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      const wake = (): void => {
        signal?.removeEventListener('abort', wake);
        resolve();
      };
      this.sleepers.push({ wakeAt: this.reading + span, wake });
      signal?.addEventListener('abort', wake, { once: true });
    });
  }

  /** @inheritdoc */
  public startTimer(span: Milliseconds, onEnd: () => void): Timer {
    const sleeper = { wakeAt: this.reading + span, wake: onEnd };
    this.sleepers.push(sleeper);
    return {
      cancel: () => {
        this.sleepers = this.sleepers.filter((other) => other !== sleeper);
      },
    };
  }

  /** Moves the clock forward by the given span and wakes the sleepers that are due. */
  public advance(span: Milliseconds): void {
    this.reading += span;
    const due = this.sleepers.filter((sleeper) => sleeper.wakeAt <= this.reading);
    this.sleepers = this.sleepers.filter((sleeper) => sleeper.wakeAt > this.reading);
    due.forEach((sleeper) => sleeper.wake());
  }
}
