import type * as clock from '@limpettack/clock';
import type { TargetClient } from './Types.js';

const FIRST_PAUSE_MS = 200;
const PAUSE_GROWTH = 2;

/** Options for cancelling earlier calls. */
export interface CancelSupersededCallsOptions {
  readonly client: Pick<TargetClient, 'cancel' | 'running'>;
  /** Names of the engines of all pools. */
  readonly engines: readonly string[];
  readonly clock: clock.Clock;
  /** Whether a call is left running, such as one whose response will be resumed. */
  readonly isKept: (callId: string) => boolean;
  /** Maximum number of attempts per engine. */
  readonly attempts: number;
  readonly signal: AbortSignal;
}

/**
 * Cancels, on all engines, the calls of a fencing scope whose fencing number is below `epoch`.
 * Returns the engines where this failed, on which such calls may still run.
 */
export async function cancelSupersededCalls(
  scope: string,
  epoch: number,
  options: CancelSupersededCallsOptions,
): Promise<readonly string[]> {
  const results = await Promise.all(
    options.engines.map(async (target) => {
      const isDone = await cancelAtEngine(target, scope, epoch, options);
      return isDone ? [] : [target];
    }),
  );
  return results.flat();
}

async function cancelAtEngine(
  target: string,
  scope: string,
  epoch: number,
  options: CancelSupersededCallsOptions,
): Promise<boolean> {
  let pauseMs = FIRST_PAUSE_MS;
  for (let attempt = 1; attempt <= options.attempts; attempt += 1) {
    if (await cancelOnce(target, scope, epoch, options)) return true;
    if (attempt === options.attempts || options.signal.aborted) return false;
    await options.clock.sleep(pauseMs, options.signal);
    pauseMs *= PAUSE_GROWTH;
  }
  return false;
}

async function cancelOnce(
  target: string,
  scope: string,
  epoch: number,
  options: CancelSupersededCallsOptions,
): Promise<boolean> {
  const running = await options.client.running(target, scope);
  if (running.isErr) return false;
  const earlier = running.value.filter(
    (call) => call.fencing.number < epoch && !options.isKept(call.callId),
  );
  const results = await Promise.all(
    earlier.map((call) => options.client.cancel(target, call.callId)),
  );
  return results.every((result) => result.isOk);
}
