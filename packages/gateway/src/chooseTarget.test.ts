import * as jestGlobals from '@jest/globals';
import * as chooseTarget from './chooseTarget.js';
import * as fixtures from './testing/gatewayFixtures.js';

const { describe, expect, test } = jestGlobals;

const TARGETS = ['near', 'one', 'two', 'three'].map((id) =>
  fixtures.createTarget(id, { failureDomain: id === 'near' ? 'a' : 'b' }),
);

describe('chooseTarget with weights', () => {
  // Without the contract, and while no view names the drawn target, choices must be as before.
  test.each([
    [undefined, [0.5], 'near', 0],
    [new Map([['two', 0.1]]), [0.5], 'near', 0],
    [new Map([['near', 0.4]]), [0.5, 0.39], 'near', 0],
    [new Map([['near', 0.4]]), [0.5, 0.41, 0.1], 'near', 0],
    [new Map([['near', 0.4]]), [0.5, 0.41, 0.99], 'three', 1],
  ])('with %p, the random numbers %j choose %s', (weights, draws, expected, expectedMoves) => {
    const left = [...draws];
    let moves = 0;
    const target = chooseTarget.chooseTarget({
      candidates: TARGETS,
      scores: new Map(),
      affinity: undefined,
      isRepeatable: true,
      ownFailureDomain: 'a',
      random: () => left.shift()!,
      weights,
      onMoved: () => {
        moves += 1;
      },
    });
    expect([target?.id, left, moves]).toEqual([expected, [], expectedMoves]);
  });
});
