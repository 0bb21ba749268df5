import type * as clock from '@limpettack/clock';
import * as configuration from '@limpettack/configuration';
import * as exchanges from './exchange.js';
import * as targetFailures from './TargetFailures.js';

/** Time limit for the response of a healthy target on a new connection. */
const PROBE_TIMEOUT_MS = 2_000;

/** Maximum number of attempts. One lost packet may delay a connection beyond its time limit. */
const PROBE_ATTEMPTS = 2;
const PROBE_INTERVAL_MS = 50;

/** Returns the path of a target's status. */
export function statusPath(pool: configuration.Pool): string {
  return pool.kind === configuration.CALL_KINDS.MODEL ? '/v1/load' : '/limpettack/status';
}

/** Returns whether a target responds on a new connection, with any status. */
export async function isAlive(
  target: configuration.Target,
  pool: configuration.Pool,
  time: clock.Clock,
): Promise<boolean> {
  const request = { method: 'GET', path: statusPath(pool), headers: {} };
  const { connectMs } = pool.timeLimits;
  const options = { url: target.url, clock: time, connectMs, totalMs: PROBE_TIMEOUT_MS };
  for (let attempt = 1; attempt <= PROBE_ATTEMPTS; attempt += 1) {
    const result = await exchanges.exchange(request, options);
    if (result.isOk || result.error.kind === targetFailures.TARGET_FAILURES.INVALID) return true;
    await time.sleep(PROBE_INTERVAL_MS);
  }
  return false;
}
