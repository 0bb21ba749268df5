import * as jestGlobals from '@jest/globals';
import * as messages from './messages.js';
import * as turnFleet from './testing/TurnFleet.js';

const { afterEach, describe, expect, test } = jestGlobals;

/** Between two turns: few of them take longer than the retention. */
const PAUSE_MS = 10_000;

/** Turns may be kept so much longer than needed: the store of a busy site would fill up. */
const REMOVED_WITHIN_MS = 15_000;

const fleets: turnFleet.TurnFleet[] = [];

afterEach(() => {
  fleets.splice(0).forEach((fleet) => fleet.dispose());
});

describe('TurnRetention', () => {
  test('a VM that cannot be reached is told when it can be, without a wait for turns', async () => {
    const fleet = createFleet();
    const [a, b] = [fleet.start('a'), fleet.start('b')];
    await fleet.runTurn(a, 't1');
    await fleet.advance(25_000);
    fleet.peers.cut.add('a');
    const before = fleet.time.now();
    expect(await fleet.runTurn(b, 't2', 't1')).toBe(true);
    expect(fleet.time.now()).toBe(before);
    await fleet.advance(30_000);
    fleet.peers.cut.delete('a');
    await fleet.advance(turnFleet.RETENTION_MS - 30_000);
    fleet.dropHistory();
    expect(await fleet.find('t2')).toBe('t1 t2');
    await fleet.advance(REMOVED_WITHIN_MS);
    expect(await fleet.recordCount()).toBe(0);
  });

  test('a VM that cannot be reached is given up when its turns are needed no longer', async () => {
    const fleet = createFleet();
    const [a, b] = [fleet.start('a'), fleet.start('b')];
    await fleet.runTurn(a, 't1');
    fleet.peers.cut.add('a');
    await fleet.runTurn(b, 't2', 't1');
    await fleet.advance(turnFleet.RETENTION_MS + PAUSE_MS);
    const sent = keepOnCount(fleet);
    expect(sent).toBeGreaterThan(1);
    await fleet.advance(turnFleet.RETENTION_MS);
    expect(keepOnCount(fleet)).toBe(sent);
  });

  test('a VM of an earlier release, which does not know the message, harms no turn', async () => {
    const fleet = createFleet();
    const [a, b] = [fleet.start('a'), fleet.start('b')];
    fleet.peers.unserved.set('a', messages.KEEP_ON.name);
    await fleet.runTurn(a, 't1');
    await fleet.advance(25_000);
    expect(await fleet.runTurn(b, 't2', 't1')).toBe(true);
    expect(await fleet.find('t2')).toBe('t1 t2');
  });

  test('a VM that has started again removes nothing', async () => {
    const fleet = createFleet();
    const [a, b] = [fleet.start('a'), fleet.start('b')];
    await fleet.runTurn(a, 't1');
    a.dispose();
    fleet.start('a');
    await fleet.runTurn(b, 't2', 't1');
    await fleet.advance(turnFleet.RETENTION_MS);
    fleet.dropHistory();
    expect(await fleet.find('t2')).toBe('t1 t2');
  });

  test.each([20_000, -20_000])('times of day may differ by %d ms', async (shiftMs) => {
    const fleet = createFleet();
    const stores = [fleet.start('a'), fleet.start('b', shiftMs), fleet.start('c')];
    await runConversation(fleet, stores, 20);
    fleet.dropHistory();
    expect(await fleet.find('t19')).toBe(names(20).join(' '));
    await fleet.advance(turnFleet.RETENTION_MS);
    fleet.dropHistory();
    expect(await fleet.find('t19')).toBe(names(20).join(' '));
    await fleet.advance(REMOVED_WITHIN_MS);
    expect(await fleet.recordCount()).toBe(0);
  });

  test('a long conversation costs each VM a message in a third of the retention', async () => {
    const fleet = createFleet();
    await runConversation(fleet, [fleet.start('a'), fleet.start('b')], 60, 3_000);
    const thirds = Math.ceil((60 * 3_000) / (turnFleet.RETENTION_MS / 3));
    expect(keepOnCount(fleet)).toBeGreaterThan(0);
    expect(keepOnCount(fleet)).toBeLessThanOrEqual(2 * thirds);
  });

  test('many short conversations share their messages', async () => {
    const fleet = createFleet();
    const stores = ['a', 'b', 'c', 'd', 'e'].map((name) => fleet.start(name));
    for (let step = 0; step < 5; step += 1) {
      for (let line = 0; line < 40; line += 1) {
        const previous = step === 0 ? undefined : `${line}/${step - 1}`;
        const store = stores[(line + step) % stores.length]!;
        expect(await fleet.runTurn(store, `${line}/${step}`, previous)).toBe(true);
      }
      await fleet.advance(2_000);
    }
    expect(keepOnCount(fleet)).toBe(0);
    await fleet.advance(2 * turnFleet.RETENTION_MS);
    // Each VM tells each other one once: all turns of all conversations go with the first.
    expect(keepOnCount(fleet)).toBe(stores.length * (stores.length - 1));
    expect(await fleet.recordCount()).toBe(0);
  });

  test('a VM that has stopped sends nothing more, also for a look-up that ends after it', async () => {
    const fleet = createFleet();
    const [a, b] = [fleet.start('a'), fleet.start('b')];
    await fleet.runTurn(a, 't1');
    await fleet.advance(turnFleet.RETENTION_MS / 2);
    const last = fleet.runTurn(b, 't2', 't1');
    b.dispose();
    await last;
    await fleet.advance(2 * turnFleet.RETENTION_MS);
    expect(keepOnCount(fleet)).toBe(0);
  });

  test('a conversation at one VM costs no message', async () => {
    const fleet = createFleet();
    await runConversation(fleet, [fleet.start('a')], 20);
    await fleet.advance(turnFleet.RETENTION_MS);
    fleet.dropHistory();
    expect(await fleet.find('t19')).toBe(names(20).join(' '));
    expect(fleet.peers.sent).toEqual([]);
  });

  test('a line that has ended is removed though another one goes on from the same turn', async () => {
    const fleet = createFleet();
    const [a, b] = [fleet.start('a'), fleet.start('b')];
    await fleet.runTurn(a, 't0');
    await fleet.runTurn(a, 'ended', 't0');
    await fleet.advance(PAUSE_MS);
    let previous = 't0';
    for (let index = 1; index < 12; index += 1) {
      await fleet.runTurn(b, `t${index}`, previous);
      previous = `t${index}`;
      await fleet.advance(PAUSE_MS);
    }
    fleet.dropHistory();
    expect(await fleet.find('ended')).toBe('turn-unknown');
    expect(await fleet.find('t11')).toBe(names(12).join(' '));
  });
});

function createFleet(): turnFleet.TurnFleet {
  const fleet = new turnFleet.TurnFleet();
  fleets.push(fleet);
  return fleet;
}

function names(count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `t${index}`);
}

/** Runs turns one after the other, at the VMs in turn. */
async function runConversation(
  fleet: turnFleet.TurnFleet,
  stores: readonly ReturnType<turnFleet.TurnFleet['start']>[],
  count: number,
  pauseMs = PAUSE_MS,
): Promise<void> {
  const ids = names(count);
  for (let index = 0; index < count; index += 1) {
    if (index > 0) await fleet.advance(pauseMs);
    fleet.dropHistory();
    const store = stores[index % stores.length]!;
    expect(await fleet.runTurn(store, ids[index]!, ids[index - 1])).toBe(true);
  }
}

function keepOnCount(fleet: turnFleet.TurnFleet): number {
  return fleet.peers.sent.filter((name) => name === messages.KEEP_ON.name).length;
}
