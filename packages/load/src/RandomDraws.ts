import * as uniformFloat from 'pure-rand/distribution/uniformFloat64';
import * as mersenne from 'pure-rand/generator/mersenne';

type Generator = ReturnType<typeof mersenne.mersenne>;

const MILLISECONDS_PER_SECOND = 1_000;

/** Seeded draws; the same seed gives the same sequence. */
export class RandomDraws {
  private readonly generator: Generator;

  public constructor(seed: number) {
    this.generator = mersenne.mersenne(seed);
  }

  /** From 0, included, to 1, not included. */
  public fraction(): number {
    return uniformFloat.uniformFloat64(this.generator);
  }

  /** A whole number between two, both included. */
  public whole([low, high]: readonly [number, number]): number {
    return Math.floor(low + this.fraction() * (high - low + 1));
  }

  /** True with a probability. */
  public chance(probability: number): boolean {
    return this.fraction() < probability;
  }

  /** The time to the next arrival of a Poisson process, in milliseconds. */
  public gapMs(perSecond: number): number {
    return (-Math.log(1 - this.fraction()) / perSecond) * MILLISECONDS_PER_SECOND;
  }

  /** A name by weight. */
  public pick(weights: Readonly<Record<string, number>>): string {
    const entries = Object.entries(weights);
    let left = this.fraction() * entries.reduce((sum, [, weight]) => sum + weight, 0);
    const found = entries.find(([, weight]) => {
      left -= weight;
      return left < 0;
    });
    return found?.[0] ?? entries[0]?.[0] ?? '';
  }
}
