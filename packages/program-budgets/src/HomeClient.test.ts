import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as keyedLog from '@limpettack/keyed-log';
import * as homeFixtures from './testing/homeFixtures.js';
import type { Reservation } from './Types.js';

const { afterEach, describe, expect, test } = jestGlobals;

const fleets: homeFixtures.HomeFleet[] = [];

afterEach(async () => {
  await Promise.all(fleets.splice(0).map((fleet) => fleet.dispose()));
});

async function createFleet(
  count: number,
  programsContinueDuringOutages = false,
): Promise<homeFixtures.HomeFleet> {
  const fleet = await homeFixtures.createHomeFleet(count, programsContinueDuringOutages);
  fleets.push(fleet);
  return fleet;
}

describe('HomeClient', () => {
  test('follows a redirect to the owner and opens the partition only there', async () => {
    const fleet = await createFleet(3);
    // The second VM does not know the owner yet and considers the third one the owner.
    fleet.hide({ from: 1, member: 0 });
    const program = fleet.findProgram(
      (name) => fleet.ownerAsSeenBy(0, name) === 0 && fleet.ownerAsSeenBy(1, name) === 2,
    );
    await fleet.clients[0]!.reserve(reservation(program, 'a'));
    const result = await fleet.clients[1]!.reserve(reservation(program, 'b'));
    expect(result.isOk).toBe(true);
    expect(fleet.servers.map((server) => server.ownedCount)).toEqual([1, 0, 0]);
  });

  test('another home serves after the owner crashed without leaving the membership', async () => {
    const fleet = await createFleet(3);
    const program = fleet.programOwnedBy(0);
    await fleet.networks[0]!.dispose();
    const result = await fleet.clients[1]!.reserve(reservation(program, 'a'));
    expect(result.isOk).toBe(true);
  });

  // The allowances of sub-agents at several VMs would add up to more than one turn.
  test('turns of one program at several VMs share one allowance during an outage', async () => {
    const fleet = await createFleet(3, true);
    const program = fleet.programOwnedBy(0);
    await fleet.servers[0]!.settle({ program, call: 'none', tokens: 0, isKept: false }, 'here');
    fleet.log.outage = keyedLog.LOG_FAILURES.UNAVAILABLE;
    const allowances = await Promise.all(
      fleet.clients.map(async (client, vm) => {
        const request = { ...reservation(program, `call-${vm}`), isRetained: false };
        const granted = await client.reserve(request);
        return granted.isOk ? (granted.value.uncoveredTokens ?? 0) : undefined;
      }),
    );
    expect(allowances.toSorted()).toEqual([0, 0, reservation(program, '').mostTokens]);
  });

  // The owner and a home that serves on insistence would each let the program exceed its record.
  test('a home that serves although another VM is the owner grants no allowance', async () => {
    const fleet = await createFleet(2, true);
    const program = fleet.programOwnedBy(0);
    const request = { ...reservation(program, 'a'), isRetained: false };
    await fleet.servers[1]!.reserve(request, true);
    fleet.log.outage = keyedLog.LOG_FAILURES.UNAVAILABLE;
    const granted = await fleet.servers[1]!.reserve(
      { ...request, call: 'b', mostTokens: 300 },
      true,
    );
    expect(granted.unwrapOr(undefined)).toEqual({ isCovered: false });
  });

  // VMs that are cut off from each other would each consider themselves the owner.
  test('a home that reaches only a minority of the VMs grants no allowance', async () => {
    const fleet = await createFleet(3, true);
    const program = fleet.programOwnedBy(0);
    await fleet.servers[0]!.settle({ program, call: 'none', tokens: 0, isKept: false }, 'here');
    [1, 2].forEach((member) => fleet.hide({ from: 0, member }));
    fleet.log.outage = keyedLog.LOG_FAILURES.UNAVAILABLE;
    const request = { ...reservation(program, 'a'), isRetained: false };
    const granted = await fleet.clients[0]!.reserve(request);
    expect(granted.unwrapOr(undefined)).toEqual({ isCovered: false });
  });

  // A VM that insists made the owner release a partition that it then could not read itself.
  test('a home that cannot read a partition does not make its owner release it', async () => {
    const fleet = await createFleet(2, true);
    const program = fleet.programOwnedBy(0);
    const request = { ...reservation(program, 'a'), isRetained: false };
    await fleet.servers[0]!.reserve(request, false);
    fleet.log.outage = keyedLog.LOG_FAILURES.UNAVAILABLE;
    const insisting = await fleet.servers[1]!.reserve({ ...request, call: 'b' }, true);
    expect(insisting.isErr && insisting.error.kind).toBe('log-unavailable');
    expect((await fleet.servers[0]!.reserve({ ...request, call: 'c' }, false)).isOk).toBe(true);
  });

  // The home that had granted the turn freed tokens that were already delivered.
  test('a turn whose home cannot report its coverage is not settled as unsent', async () => {
    const time = new clock.ManualClock();
    const { requestedMethods, client } = homeFixtures.createUnresponsiveClient(time);
    const covering = client.cover(reservation('program', 'a'));
    for (let second = 0; second < 12; second += 1) {
      time.advance(1_000);
      await homeFixtures.flushEvents();
    }
    expect(await covering).toBe(false);
    expect(requestedMethods).toContain('home.reserve');
    expect(requestedMethods).not.toContain('home.settle');
  });

  test('tries no further home after the timeout of the request', async () => {
    const time = new clock.ManualClock();
    const { requestedMethods, client } = homeFixtures.createUnresponsiveClient(time);
    const reserving = client.reserve(reservation('program', 'a'), 900);
    for (let second = 0; second < 12; second += 1) {
      await homeFixtures.flushEvents();
      time.advance(1_000);
    }
    const result = await reserving;
    expect(result.isErr && result.error).toMatchObject({
      kind: 'home-unavailable',
      run: 'not-run',
    });
    expect(requestedMethods.filter((name) => name === 'home.reserve')).toHaveLength(1);
    // An unresponsive home may have reserved the tokens.
    expect(requestedMethods).toContain('home.settle');
  });

  test('requests the coverage from the home that granted the reservation', async () => {
    const fleet = await createFleet(2);
    const program = fleet.programOwnedBy(0);
    const request = reservation(program, 'a');
    await fleet.clients[1]!.reserve(request);
    expect(await fleet.clients[1]!.cover(request)).toBe(true);
  });

  test('reserves tokens again when the partition was released', async () => {
    const fleet = await createFleet(2);
    const program = fleet.programOwnedBy(0);
    const request = reservation(program, 'a');
    await fleet.clients[1]!.reserve(request);
    await fleet.servers[0]!.releaseAll();
    let isCovered = false;
    while (!isCovered) isCovered = await fleet.clients[1]!.cover(request);
    expect(isCovered).toBe(true);
  });

  test('an owner that is asked to release a partition while it reads it still serves', async () => {
    const fleet = await createFleet(3);
    const program = fleet.programOwnedBy(0);
    const calls = ['a', 'b', 'c', 'd'].map((call, index) =>
      fleet.clients[index % 3]!.reserve(reservation(program, call)),
    );
    await fleet.servers[0]!.releaseAll();
    const results = await Promise.all(calls);
    expect(results.map(({ isOk }) => isOk)).toEqual([true, true, true, true]);
    expect(fleet.servers.map((server) => server.ownedCount)).toEqual([1, 0, 0]);
  });

  test('the next owner settles a turn after its home was lost', async () => {
    const fleet = await createFleet(3);
    const program = fleet.programOwnedBy(0);
    const small = { ...reservation(program, 'a'), budgetTokens: 150 };
    await fleet.clients[1]!.reserve(small);
    await fleet.clients[1]!.cover(small);
    await fleet.networks[0]!.dispose();
    [1, 2].forEach((from) => fleet.hide({ from, member: 0 }));
    fleet.clients[1]!.settle({ program, call: 'a', tokens: 0, isKept: false });
    await homeFixtures.waitUntil(
      async () => (await fleet.clients[2]!.reserve({ ...small, call: 'b' })).isOk,
    );
  });

  test('a settlement is repeated to an owner that succeeds the one that accepted it', async () => {
    const fleet = await createFleet(3);
    const program = fleet.programOwnedBy(0);
    const small = { ...reservation(program, 'a'), budgetTokens: 150 };
    await fleet.clients[1]!.reserve(small);
    await fleet.clients[1]!.cover(small);
    fleet.hide({ from: 2, member: 0 });
    const early = await fleet.clients[2]!.reserve({ ...small, call: 'b' });
    expect(early.isErr && early.error.kind).toBe('budget-exhausted');
    await fleet.clients[1]!.settleRetained({ program, call: 'a', tokens: 0, isKept: true }, 1_000);
    fleet.hide({ from: 1, member: 0 });
    await homeFixtures.waitUntil(
      async () => (await fleet.clients[2]!.reserve({ ...small, call: 'b' })).isOk,
    );
  });
});

function reservation(program: string, call: string): Reservation {
  return { program, call, budgetTokens: 1_000, mostTokens: 100 };
}
