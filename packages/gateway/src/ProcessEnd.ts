import type * as clock from '@limpettack/clock';
import * as errors from '@limpettack/errors';
import * as lifetime from '@limpettack/lifetime';

/** Retry delay for callers that a stopping process refuses. They should try another VM. */
const RETRY_AFTER_MS = 50;

/** Tells requests when this process ends, so that each gets a response before that. */
export class ProcessEnd implements lifetime.Disposable {
  private readonly endEmitter = new lifetime.Emitter<void>();

  /** Fires when all requests must end, because the process does. */
  public readonly onEnd = this.endEmitter.event;

  private endsAt: clock.Milliseconds | undefined;

  /** From now on, only requests that must have ended by the given time are sent to targets. */
  public announce(endsAt: clock.Milliseconds): void {
    this.endsAt = endsAt;
  }

  /**
   * Whether a request that no target has may be sent to one. Without time for the response, it is
   * better refused as not run: another VM can serve it.
   */
  public maySend(deadline: clock.Milliseconds): boolean {
    return this.endsAt === undefined || deadline <= this.endsAt;
  }

  /** Ends all requests. */
  public end(): void {
    this.endsAt = Number.NEGATIVE_INFINITY;
    this.endEmitter.fire();
  }

  /** @inheritdoc */
  public dispose(): void {
    this.endEmitter.dispose();
  }
}

/** The fault for a request that was not sent because this process ends. */
export function shuttingDownFault(): errors.Fault {
  return errors.createFault('shutting-down', undefined, { retryAfterMs: RETRY_AFTER_MS });
}
