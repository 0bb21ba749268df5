import type * as clock from '@limpettack/clock';
import * as configuration from '@limpettack/configuration';
import * as exchanges from './exchange.js';
import * as targetFailures from './TargetFailures.js';

/** Time in which a target that is well answers on a fresh connection. */
const PROBE_MS = 2_000;

/** Attempts, since one lost packet may delay a connection past its limit. */
const PROBE_ATTEMPTS = 2;
const PROBE_INTERVAL_MS = 50;

/** The path that answers a target's status. */
export function statusPath(pool: configuration.Pool): string {
  return pool.kind === configuration.CALL_KINDS.MODEL ? '/v1/load' : '/limpettack/status';
}

/** Tells whether a target answers on a fresh connection, whatever it answers. */
export async function isAlive(
  target: configuration.Target,
  pool: configuration.Pool,
  time: clock.Clock,
): Promise<boolean> {
  const request = { method: 'GET', path: statusPath(pool), headers: {} };
  const { connectMs } = pool.timeLimits;
  const options = { url: target.url, clock: time, connectMs, totalMs: PROBE_MS };
  for (let attempt = 1; attempt <= PROBE_ATTEMPTS; attempt += 1) {
    const answer = await exchanges.exchange(request, options);
    if (answer.isOk || answer.error.kind === targetFailures.TARGET_FAILURES.INVALID) return true;
    await time.sleep(PROBE_INTERVAL_MS);
  }
  return false;
}
