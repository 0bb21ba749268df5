import type { Clock, Milliseconds, Timer } from './Types.js';

/** Maximum delay of a Node.js timer (signed 32 bits). A timer with a longer delay fires at once. */
const MAXIMUM_TIMER_MS = 2_147_483_647;

/** The clock of the operating system. */
export class SystemClock implements Clock {
  /** @inheritdoc */
  public now(): Milliseconds {
    return performance.now();
  }

  /** @inheritdoc */
  public timeOfDay(): Milliseconds {
    return Date.now();
  }

  /** @inheritdoc */
  public sleep(duration: Milliseconds, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      const timer = setTimeout(finish, clampToMaximum(duration));
      function finish(): void {
        clearTimeout(timer);
        signal?.removeEventListener('abort', finish);
        resolve();
      }
      signal?.addEventListener('abort', finish, { once: true });
    });
  }

  /** @inheritdoc */
  public startTimer(duration: Milliseconds, onEnd: () => void): Timer {
    const timer = setTimeout(onEnd, clampToMaximum(duration));
    return { cancel: () => clearTimeout(timer) };
  }
}

function clampToMaximum(duration: Milliseconds): Milliseconds {
  return Math.min(duration, MAXIMUM_TIMER_MS);
}
