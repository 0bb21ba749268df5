import type * as clock from '@limpettack/clock';
import * as configuration from '@limpettack/configuration';
import * as exchanges from './exchange.js';

/** Time in which a target that is well answers on a fresh connection. */
const PROBE_MS = 2_000;

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
  const answer = await exchanges.exchange(
    { method: 'GET', path: statusPath(pool), headers: {} },
    {
      url: target.url,
      clock: time,
      connectMs: pool.timeLimits.connectMs,
      totalMs: PROBE_MS,
    },
  );
  return answer.isOk || answer.error.kind === 'invalid';
}
