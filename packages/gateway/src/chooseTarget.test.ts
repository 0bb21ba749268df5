import * as jestGlobals from '@jest/globals';
import * as chooseTarget from './chooseTarget.js';
import * as fixtures from './testing/gatewayFixtures.js';

const { describe, expect, test } = jestGlobals;

const CANDIDATES = Array.from({ length: 10 }, (_, index) =>
  fixtures.createTarget(`target-${index}`, { failureDomain: index < 3 ? 'a' : 'b' }),
);

/** Chooses a target and returns its id with the number of random draws and moves. */
function choose(
  weights: ReadonlyMap<string, number> | undefined,
  affinity: string | undefined,
  draws: readonly number[],
): readonly [string | undefined, number, number] {
  let drawn = 0;
  let moved = 0;
  const random = (): number => {
    drawn += 1;
    return draws[drawn - 1]!;
  };
  const target = chooseTarget.chooseTarget({
    candidates: CANDIDATES,
    scores: new Map(),
    affinity,
    isRepeatable: true,
    ownFailureDomain: 'a',
    random,
    weights,
    onMoved: () => {
      moved += 1;
    },
  });
  return [target?.id, drawn, moved];
}

describe('chooseTarget with weights', () => {
  // Without the contract, and while no view names a target, choices must be those of the release before.
  test.each([undefined, new Map(), new Map([['target-9', 0.1]])])(
    'draws once if the drawn target has weight 1 (%p)',
    (weights) => expect(choose(weights, undefined, [0.5])).toEqual(['target-1', 1, 0]),
  );

  test('keeps the drawn target with a probability equal to its weight', () => {
    const weights = new Map([['target-1', 0.4]]);
    expect(choose(weights, undefined, [0.5, 0.39])).toEqual(['target-1', 2, 0]);
    // All least loaded targets are candidates then, also those of other failure domains.
    expect(choose(weights, undefined, [0.5, 0.41, 0.99])).toEqual(['target-9', 3, 1]);
    expect(choose(weights, undefined, [0.5, 0.41, 0.13])).toEqual(['target-1', 3, 0]);
  });

  // If weights reordered all targets, every program would lose the cache of its engine.
  test('a program moves only from the target whose weight falls', () => {
    const weights = new Map([['target-4', 0.1]]);
    const programs = Array.from({ length: 400 }, (_, index) => `program-${index}`);
    const moves = programs.map((program) => {
      const [before] = choose(undefined, program, []);
      const [after, , moved] = choose(weights, program, []);
      expect(moved).toBe(after === before ? 0 : 1);
      return after === before ? undefined : before;
    });
    expect(new Set(moves)).toEqual(new Set([undefined, 'target-4']));
  });
});
