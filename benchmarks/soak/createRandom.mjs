import * as uniformFloat from 'pure-rand/distribution/uniformFloat64';
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';

/** Distance of the generator seeds of adjacent seeds, so that their lanes do not overlap. */
const LANE_STEP = 7_919;

/** Returns a random generator that is determined by a seed and a lane. */
export function createRandom(seed, lane = 0) {
  const generator = xoroshiro.xoroshiro128plus(seed * LANE_STEP + lane);
  const next = () => uniformFloat.uniformFloat64(generator);
  const between = (minimum, maximum) => minimum + next() * (maximum - minimum);
  return {
    next,
    between,
    /** Returns an integer between minimum and maximum, both included. */
    integer: (minimum, maximum) => Math.floor(between(minimum, maximum + 1)),
    pick: (list) => list[Math.floor(next() * list.length)],
  };
}
