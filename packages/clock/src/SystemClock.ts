import type { Clock, Milliseconds, Timer } from './Types.js';

/** Longer spans would end at once: the platform's timers take 32 bits. */
const LONGEST_TIMER_MS = 2_147_483_647;

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
  public sleep(span: Milliseconds, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      const timer = setTimeout(finish, bounded(span));
      function finish(): void {
        clearTimeout(timer);
        signal?.removeEventListener('abort', finish);
        resolve();
      }
      signal?.addEventListener('abort', finish, { once: true });
    });
  }

  /** @inheritdoc */
  public startTimer(span: Milliseconds, onEnd: () => void): Timer {
    const timer = setTimeout(onEnd, bounded(span));
    return { cancel: () => clearTimeout(timer) };
  }
}

function bounded(span: Milliseconds): Milliseconds {
  return Math.min(span, LONGEST_TIMER_MS);
}
