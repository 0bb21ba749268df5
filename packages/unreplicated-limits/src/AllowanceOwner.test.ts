import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as logging from '@limpettack/logging';
import * as membership from '@limpettack/membership';
import * as allowanceOwner from './AllowanceOwner.js';

const { describe, expect, test } = jestGlobals;

const LIMIT = { ratePerSecond: 100, burst: 100 };
const REQUEST = { workspace: 'w', needed: 1_000, expected: 0, isBegin: false };

describe('AllowanceOwner', () => {
  // Guards against callers that are refused until all VMs know of the new owner.
  test('a deputy that already owns a limit grants all of it, not its share', async () => {
    const first = createMember('first');
    const second = createMember('second');
    const ranked = [first, second].sort((left) =>
      left === allowanceOwner.ownerOf('w', [first, second]) ? -1 : 1,
    );
    const [owner, deputy] = [ranked[0]!, ranked[1]!];
    expect(allowanceOwner.deputyOf('w', [first, second])).toBe(deputy);
    const asDeputy = await grantOverSeconds(deputy, [owner, deputy]);
    const asOwner = await grantOverSeconds(deputy, [deputy]);
    expect(asDeputy).toBeGreaterThan(0);
    expect(asDeputy).toBeLessThanOrEqual(0.1 * (5 * LIMIT.ratePerSecond + LIMIT.burst) + 1);
    expect(asOwner).toBeGreaterThan(0.8 * 5 * LIMIT.ratePerSecond);
    expect(asOwner).toBeLessThanOrEqual(5 * LIMIT.ratePerSecond + LIMIT.burst);
  });
});

/** What a VM grants in five seconds to others that take it for the deputy. */
async function grantOverSeconds(
  self: membership.Member,
  available: readonly membership.Member[],
): Promise<number> {
  const time = new clock.ManualClock();
  const owner = new allowanceOwner.AllowanceOwner({
    clock: time,
    logger: new logging.PartLogger('test'),
    limitOf: () => LIMIT,
    membership: { available: () => available, onChange: () => ({ dispose: () => undefined }) },
    network: { self, serve: () => ({ dispose: () => undefined }) },
  });
  const responses: ReturnType<typeof owner.take>[] = [];
  for (let at = 0; at < 5_000; at += 100) {
    responses.push(owner.takeAsDeputy(REQUEST));
    time.advance(100);
    await Promise.resolve();
  }
  // Requests that wait longer than this are refused.
  time.advance(1_000);
  const granted = await Promise.all(responses);
  await owner.dispose();
  return granted.reduce((sum, response) => sum + response.granted, 0);
}

function createMember(name: string): membership.Member {
  const state = membership.MEMBER_STATES.AVAILABLE;
  const identity = { name, incarnation: '1', address: `${name}:1`, failureDomain: 'a' };
  return { ...identity, state, listed: true, leaving: false };
}
