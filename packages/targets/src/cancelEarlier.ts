import type * as clock from '@limpettack/clock';
import type { TargetClient } from './Types.js';

const FIRST_PAUSE_MS = 200;
const PAUSE_GROWTH = 2;

/** What the cancelling of earlier calls needs. */
export interface CancelEarlierOptions {
  readonly client: Pick<TargetClient, 'cancel' | 'running'>;
  /** Names of the engines of all pools. */
  readonly engines: readonly string[];
  readonly clock: clock.Clock;
  /** Calls to leave running, such as those whose answers will be resumed. */
  readonly isKept: (callId: string) => boolean;
  /** Attempts at each engine. */
  readonly attempts: number;
  readonly signal: AbortSignal;
}

/**
 * Cancels, at all engines, the calls that run in a fencing scope under a number below the given
 * one. Returns the engines that could not be asked, on which such calls may still run.
 */
export async function cancelEarlier(
  scope: string,
  epoch: number,
  options: CancelEarlierOptions,
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
  options: CancelEarlierOptions,
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
  options: CancelEarlierOptions,
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
