import * as logFailures from './LogFailures.js';
import type { LogFailure, LogResult } from './Types.js';

/** Makes a call by one path. */
export type Attempt<Value> = () => Promise<LogResult<Value>>;

/** How a call is made by each path. */
export interface PathAttempts<Value> {
  readonly direct: Attempt<Value>;
  readonly relayed: Attempt<Value>;
}

/**
 * One call to the log that may take several paths at the same time, because calls are idempotent.
 * It ends with the first response of the log, or with a failure when no attempt is left. Relays
 * follow a direct attempt that fails.
 */
export class PathRace<Value> {
  /** Resolves when the call has ended. */
  public readonly result: Promise<LogResult<Value>>;

  private running = 0;

  private isRelayStarted = false;

  private isFinished = false;

  /** The failure of an attempt that may have taken effect. */
  private lost: LogFailure | undefined;

  private settle: (result: LogResult<Value>) => void = () => undefined;

  public constructor(private readonly attempts: PathAttempts<Value>) {
    this.result = new Promise((resolve) => {
      this.settle = resolve;
    });
  }

  /** Sends the call by the direct path, also while an earlier direct attempt still runs. */
  public sendDirect(): void {
    this.send(async () => {
      const result = await this.attempts.direct();
      if (result.isErr && isTransient(result.error)) this.sendRelayed();
      return result;
    });
  }

  /** Sends the call through relays, once. */
  public sendRelayed(): void {
    if (this.isRelayStarted) return;
    this.isRelayStarted = true;
    this.send(this.attempts.relayed);
  }

  private async send(attempt: Attempt<Value>): Promise<void> {
    if (this.isFinished) return;
    this.running += 1;
    const result = await attempt();
    this.running -= 1;
    if (this.isFinished) return;
    if (result.isErr && isTransient(result.error)) {
      if (result.error.kind === logFailures.LOG_FAILURES.LOST) this.lost = result.error;
      if (this.running > 0) return;
    }
    this.isFinished = true;
    this.settle(this.describe(result));
  }

  /** A failed call may have taken effect if any of its attempts may have. */
  private describe(result: LogResult<Value>): LogResult<Value> {
    const { lost } = this;
    return lost === undefined
      ? result
      : result.mapErr((error) => (isTransient(error) ? lost : error));
  }
}

/** Whether a call may succeed by another path, or later. */
export function isTransient({ kind }: LogFailure): boolean {
  const { LOST, UNAVAILABLE } = logFailures.LOG_FAILURES;
  return kind === LOST || kind === UNAVAILABLE;
}
