import * as keyedLog from '@limpettack/keyed-log';
import type { Route } from './Types.js';

const HASH_RANGE = 2 ** 32;

/** Chooses a pool by weight; the same text gets the same pool while the weights stay. */
export function choosePool(route: Route, text: string): string | undefined {
  const total = route.pools.reduce((sum, { weight }) => sum + weight, 0);
  let point = (keyedLog.hashText(`${route.name}/${text}`) / HASH_RANGE) * total;
  const chosen = route.pools.find(({ weight }) => {
    point -= weight;
    return point < 0;
  });
  return (chosen ?? route.pools.at(-1))?.pool;
}
