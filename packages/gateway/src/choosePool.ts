import * as keyedLog from '@limpettack/keyed-log';
import type { Route } from './Types.js';

const HASH_RANGE = 2 ** 32;

/**
 * Chooses a pool of the route by weight. The same key gets the same pool while the pools and
 * weights do not change.
 */
export function choosePool(route: Route, key: string): string | undefined {
  const total = route.pools.reduce((sum, { weight }) => sum + weight, 0);
  let point = (keyedLog.hashText(`${route.name}/${key}`) / HASH_RANGE) * total;
  const chosen = route.pools.find(({ weight }) => {
    point -= weight;
    return point < 0;
  });
  return (chosen ?? route.pools.at(-1))?.pool;
}
