import type { Clock, Milliseconds } from './Types.js';

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
      const timer = setTimeout(finish, span);
      function finish(): void {
        clearTimeout(timer);
        signal?.removeEventListener('abort', finish);
        resolve();
      }
      signal?.addEventListener('abort', finish, { once: true });
    });
  }
}
