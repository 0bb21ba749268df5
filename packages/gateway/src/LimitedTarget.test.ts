import * as jestGlobals from '@jest/globals';
import * as limitedTarget from './LimitedTarget.js';
import * as fixtures from './testing/gatewayFixtures.js';

const { expect, test } = jestGlobals;

// VMs used turns of their own share, granted for later, beside those of the owner that responded again.
test('while the owner is unreachable, no turn is granted for after the next request to it', () => {
  const limited = new limitedTarget.LimitedTarget(fixtures.createTarget('one'), 20, 0);
  limited.recordUnreachableOwner(0, { count: 13, rank: 0 });
  const early = limited.takeOwnTurn(0, 3_000);
  expect(early.isGranted).toBe(false);
  expect(early.waitMs).toBeLessThanOrEqual(500);
  expect(limited.takeOwnTurn(400, 3_000).isGranted).toBe(false);
  expect(limited.takeOwnTurn(650, 3_000).isGranted).toBe(true);
});
