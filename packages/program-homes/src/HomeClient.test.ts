import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as homeFixtures from './testing/homeFixtures.js';
import type { Reservation } from './Types.js';

const { afterEach, describe, expect, test } = jestGlobals;

const fleets: homeFixtures.HomeFleet[] = [];

afterEach(async () => {
  await Promise.all(fleets.splice(0).map((fleet) => fleet.dispose()));
});

async function createFleet(count: number): Promise<homeFixtures.HomeFleet> {
  const fleet = await homeFixtures.createHomeFleet(count);
  fleets.push(fleet);
  return fleet;
}

describe('HomeClient', () => {
  test('follows a home that takes another one for the owner, and opens no second one', async () => {
    const fleet = await createFleet(3);
    // The second VM has not met the owner yet and takes the third one for it.
    fleet.hide({ from: 1, member: 0 });
    const program = fleet.findProgram(
      (name) => fleet.ownerAsSeenBy(0, name) === 0 && fleet.ownerAsSeenBy(1, name) === 2,
    );
    await fleet.clients[0]!.reserve(reservation(program, 'a'));
    const answer = await fleet.clients[1]!.reserve(reservation(program, 'b'));
    expect(answer.isOk).toBe(true);
    expect(fleet.servers.map((server) => server.ownedCount)).toEqual([1, 0, 0]);
  });

  test('another home serves when the owner has vanished without a sign', async () => {
    const fleet = await createFleet(3);
    const program = fleet.programOwnedBy(0);
    await fleet.networks[0]!.dispose();
    const answer = await fleet.clients[1]!.reserve(reservation(program, 'a'));
    expect(answer.isOk).toBe(true);
  });

  test('no further home is asked for a request whose time to wait is over', async () => {
    const time = new clock.ManualClock();
    const { asked, client } = homeFixtures.createSilentClient(time);
    const reserving = client.reserve(reservation('program', 'a'), 900);
    for (let second = 0; second < 12; second += 1) {
      await homeFixtures.eventsSettle();
      time.advance(1_000);
    }
    const answer = await reserving;
    expect(answer.isErr && answer.error).toMatchObject({
      kind: 'home-unavailable',
      run: 'not-run',
    });
    expect(asked.filter((name) => name === 'home.reserve')).toHaveLength(1);
    // A silent home may have set the tokens aside.
    expect(asked).toContain('home.settle');
  });

  test('asks the home that granted a reservation whether it is covered', async () => {
    const fleet = await createFleet(2);
    const program = fleet.programOwnedBy(0);
    const request = reservation(program, 'a');
    await fleet.clients[1]!.reserve(request);
    expect(await fleet.clients[1]!.cover(request)).toBe(true);
  });

  test('sets tokens aside anew when the partition has gone elsewhere', async () => {
    const fleet = await createFleet(2);
    const program = fleet.programOwnedBy(0);
    const request = reservation(program, 'a');
    await fleet.clients[1]!.reserve(request);
    await fleet.servers[0]!.releaseAll();
    let isCovered = false;
    while (!isCovered) isCovered = await fleet.clients[1]!.cover(request);
    expect(isCovered).toBe(true);
  });

  test('an owner that is asked to let go while it reads serves all the same', async () => {
    const fleet = await createFleet(3);
    const program = fleet.programOwnedBy(0);
    const calls = ['a', 'b', 'c', 'd'].map((call, index) =>
      fleet.clients[index % 3]!.reserve(reservation(program, call)),
    );
    await fleet.servers[0]!.releaseAll();
    const answers = await Promise.all(calls);
    expect(answers.map(({ isOk }) => isOk)).toEqual([true, true, true, true]);
    expect(fleet.servers.map((server) => server.ownedCount)).toEqual([1, 0, 0]);
  });

  test('a turn is settled by the next owner when its home has gone', async () => {
    const fleet = await createFleet(3);
    const program = fleet.programOwnedBy(0);
    const small = { ...reservation(program, 'a'), budgetTokens: 150 };
    await fleet.clients[1]!.reserve(small);
    await fleet.clients[1]!.cover(small);
    await fleet.networks[0]!.dispose();
    [1, 2].forEach((from) => fleet.hide({ from, member: 0 }));
    fleet.clients[1]!.settle({ program, call: 'a', tokens: 0, isKept: false });
    await homeFixtures.until(
      async () => (await fleet.clients[2]!.reserve({ ...small, call: 'b' })).isOk,
    );
  });

  test('a settlement is told again to an owner that came after the one that took it', async () => {
    const fleet = await createFleet(3);
    const program = fleet.programOwnedBy(0);
    const small = { ...reservation(program, 'a'), budgetTokens: 150 };
    await fleet.clients[1]!.reserve(small);
    await fleet.clients[1]!.cover(small);
    fleet.hide({ from: 2, member: 0 });
    const early = await fleet.clients[2]!.reserve({ ...small, call: 'b' });
    expect(early.isErr && early.error.kind).toBe('budget-exhausted');
    await fleet.clients[1]!.settleKept({ program, call: 'a', tokens: 0, isKept: true }, 1_000);
    fleet.hide({ from: 1, member: 0 });
    await homeFixtures.until(
      async () => (await fleet.clients[2]!.reserve({ ...small, call: 'b' })).isOk,
    );
  });
});

function reservation(program: string, call: string): Reservation {
  return { program, call, budgetTokens: 1_000, mostTokens: 100 };
}
