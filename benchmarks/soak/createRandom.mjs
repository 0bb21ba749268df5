import * as uniformFloat from 'pure-rand/distribution/uniformFloat64';
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';

/** Seeds of neighbouring lanes are kept apart by this factor. */
const LANE_STEP = 7_919;

/** Random choices that are the same for the same seed and lane. */
export function createRandom(seed, lane = 0) {
  const generator = xoroshiro.xoroshiro128plus(seed * LANE_STEP + lane);
  const next = () => uniformFloat.uniformFloat64(generator);
  const between = (least, most) => least + next() * (most - least);
  return {
    next,
    between,
    /** A whole number from the least up to and with the most. */
    integer: (least, most) => Math.floor(between(least, most + 1)),
    pick: (list) => list[Math.floor(next() * list.length)],
  };
}
