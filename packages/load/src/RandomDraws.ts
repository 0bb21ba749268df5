import * as uniformFloat from 'pure-rand/distribution/uniformFloat64';
import * as mersenne from 'pure-rand/generator/mersenne';

type Generator = ReturnType<typeof mersenne.mersenne>;

const MILLISECONDS_PER_SECOND = 1_000;

/** Seeded random numbers; the same seed gives the same sequence. */
export class RandomDraws {
  private readonly generator: Generator;

  public constructor(seed: number) {
    this.generator = mersenne.mersenne(seed);
  }

  /** A uniform number from 0 (included) to 1 (excluded). */
  public uniform(): number {
    return uniformFloat.uniformFloat64(this.generator);
  }

  /** A uniform integer in a range, both ends included. */
  public integer([low, high]: readonly [number, number]): number {
    return Math.floor(low + this.uniform() * (high - low + 1));
  }

  /** True with the given probability. */
  public chance(probability: number): boolean {
    return this.uniform() < probability;
  }

  /** Time to the next arrival of a Poisson process with the given rate, in milliseconds. */
  public interarrivalMs(perSecond: number): number {
    return (-Math.log(1 - this.uniform()) / perSecond) * MILLISECONDS_PER_SECOND;
  }

  /** A key, chosen with a probability proportional to its weight. */
  public pickWeighted(weights: Readonly<Record<string, number>>): string {
    const entries = Object.entries(weights);
    let remaining = this.uniform() * entries.reduce((sum, [, weight]) => sum + weight, 0);
    const found = entries.find(([, weight]) => {
      remaining -= weight;
      return remaining < 0;
    });
    return found?.[0] ?? entries[0]?.[0] ?? '';
  }
}
