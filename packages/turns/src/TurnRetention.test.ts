import * as jestGlobals from '@jest/globals';
import * as keyedLog from '@limpettack/keyed-log';
import * as messages from './messages.js';
import * as turnFleet from './testing/TurnFleet.js';

const { afterEach, describe, expect, test } = jestGlobals;

/** Time between two turns. A few such pauses exceed the retention. */
const PAUSE_MS = 10_000;

/**
 * Maximum time until an expired turn is removed. Otherwise, the store of a busy deployment would
 * fill up.
 */
const REMOVED_WITHIN_MS = 15_000;

const fleets: turnFleet.TurnFleet[] = [];

afterEach(() => {
  fleets.splice(0).forEach((fleet) => fleet.dispose());
});

describe('TurnRetention', () => {
  // Guards against the loss of a conversation when the VM that continued it ends before it has asked
  // the VM that wrote the earlier turns to extend their retention.
  test.each([
    { end: 'is restarted', restarts: 1 },
    { end: 'is restarted again and again', restarts: 4 },
    { end: 'ends for good', restarts: 0 },
  ])('a turn is retained when the VM that continued it $end', async ({ restarts }) => {
    const fleet = createFleet();
    const [a, b] = [fleet.start('a'), fleet.start('b')];
    fleet.start('c');
    await fleet.runTurn(a, 't1');
    await fleet.advance(16_000);
    await fleet.runTurn(b, 't2', 't1');
    fleet.stop('b', b);
    for (let restart = 0; restart < restarts; restart += 1) {
      const restarted = fleet.start('b');
      await fleet.advance(1_000);
      if (restart < restarts - 1) fleet.stop('b', restarted);
    }
    await fleet.advance(57_000 - 1_000 * restarts);
    fleet.dropHistory();
    expect(await fleet.find('t2')).toBe('t1 t2');
  });

  test('a turn is retained when the VM that continued it ends while the one that wrote it is paused', async () => {
    const fleet = createFleet();
    const [a, b] = [fleet.start('a'), fleet.start('b')];
    fleet.start('c');
    await fleet.runTurn(a, 't1');
    await fleet.advance(16_000);
    await fleet.runTurn(b, 't2', 't1');
    fleet.stop('b', b, false);
    fleet.time.advance(50_000);
    await fleet.advance(7_000);
    fleet.dropHistory();
    expect(await fleet.find('t2')).toBe('t1 t2');
  });

  test('a turn is retained when all VMs are restarted in turn after it was continued', async () => {
    const fleet = createFleet();
    const names = ['a', 'b', 'c', 'd'];
    const vms = new Map(names.map((name) => [name, fleet.start(name)]));
    await fleet.runTurn(vms.get('a')!, 't1');
    await fleet.runTurn(vms.get('b')!, 't2', 't1');
    for (const name of names) {
      fleet.stop(name, vms.get(name)!);
      await fleet.advance(1_000);
      vms.set(name, fleet.start(name));
    }
    await fleet.runTurn(vms.get('c')!, 't3', 't2');
    fleet.stop('c', vms.get('c')!);
    await fleet.advance(turnFleet.RETENTION_MS - 2_000);
    fleet.dropHistory();
    expect(await fleet.find('t3')).toBe('t1 t2 t3');
  });

  test('a turn is retained when the link from the VM that continued it fails', async () => {
    const fleet = createFleet();
    const [a, b] = [fleet.start('a'), fleet.start('b')];
    fleet.start('c');
    await fleet.runTurn(a, 't1');
    await fleet.advance(16_000);
    fleet.peers.cutLinks.add('b>a').add('a>b');
    await fleet.runTurn(b, 't2', 't1');
    await fleet.advance(57_000);
    fleet.dropHistory();
    expect(await fleet.find('t2')).toBe('t1 t2');
  });

  test('conversations over several VMs are removed in time after a VM has ended', async () => {
    const fleet = createFleet();
    const stores = ['a', 'b', 'c', 'd'].map((name) => fleet.start(name));
    await runConversation(fleet, stores, 9, 3_000);
    fleet.stop('e', fleet.start('e'));
    await fleet.advance(turnFleet.RETENTION_MS + REMOVED_WITHIN_MS);
    expect(await fleet.recordCount()).toBe(0);
  });

  test('no turn is removed while the turns cannot be listed after a VM has ended', async () => {
    const fleet = createFleet();
    const [a, b] = [fleet.start('a'), fleet.start('b')];
    await fleet.runTurn(a, 't1');
    await fleet.runTurn(b, 't2', 't1');
    fleet.stop('b', b);
    await fleet.advance(turnFleet.RETENTION_MS - 5_000);
    const count = await fleet.recordCount();
    fleet.log.outage = keyedLog.LOG_FAILURES.UNAVAILABLE;
    await fleet.advance(30_000);
    fleet.log.outage = undefined;
    expect(await fleet.recordCount()).toBe(count);
  });

  test('an unreachable VM receives its requests once it is reachable, and turns do not wait for it', async () => {
    const fleet = createFleet();
    const [a, b] = [fleet.start('a'), fleet.start('b')];
    await fleet.runTurn(a, 't1');
    await fleet.advance(25_000);
    fleet.peers.unreachable.add('a');
    const before = fleet.time.now();
    expect(await fleet.runTurn(b, 't2', 't1')).toBe(true);
    expect(fleet.time.now()).toBe(before);
    await fleet.advance(30_000);
    fleet.peers.unreachable.delete('a');
    await fleet.advance(turnFleet.RETENTION_MS - 30_000);
    fleet.dropHistory();
    expect(await fleet.find('t2')).toBe('t1 t2');
    await fleet.advance(REMOVED_WITHIN_MS);
    expect(await fleet.recordCount()).toBe(0);
  });

  test('requests to an unreachable VM stop when its turns are no longer needed', async () => {
    const fleet = createFleet();
    const [a, b] = [fleet.start('a'), fleet.start('b')];
    await fleet.runTurn(a, 't1');
    fleet.peers.unreachable.add('a');
    await fleet.runTurn(b, 't2', 't1');
    await fleet.advance(turnFleet.RETENTION_MS + PAUSE_MS);
    const sent = countExtensionRequests(fleet);
    expect(sent).toBeGreaterThan(1);
    await fleet.advance(turnFleet.RETENTION_MS);
    expect(countExtensionRequests(fleet)).toBe(sent);
  });

  test('no turn fails when a VM of an earlier release does not know the request', async () => {
    const fleet = createFleet();
    const [a, b] = [fleet.start('a'), fleet.start('b')];
    fleet.peers.unserved.set('a', messages.EXTEND_RETENTION.name);
    await fleet.runTurn(a, 't1');
    await fleet.advance(25_000);
    expect(await fleet.runTurn(b, 't2', 't1')).toBe(true);
    expect(await fleet.find('t2')).toBe('t1 t2');
  });

  test('a restarted VM does not remove the turns that it wrote before', async () => {
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

  test.each([20_000, -20_000])(
    'turns are retained when wall clocks differ by %d ms',
    async (shiftMs) => {
      const fleet = createFleet();
      const stores = [fleet.start('a'), fleet.start('b', shiftMs), fleet.start('c')];
      await runConversation(fleet, stores, 20);
      fleet.dropHistory();
      expect(await fleet.find('t19')).toBe(turnIds(20).join(' '));
      await fleet.advance(turnFleet.RETENTION_MS);
      fleet.dropHistory();
      expect(await fleet.find('t19')).toBe(turnIds(20).join(' '));
      await fleet.advance(REMOVED_WITHIN_MS);
      expect(await fleet.recordCount()).toBe(0);
    },
  );

  test('a long conversation costs each VM at most one message per third of the retention', async () => {
    const fleet = createFleet();
    await runConversation(fleet, [fleet.start('a'), fleet.start('b')], 60, 3_000);
    const thirds = Math.ceil((60 * 3_000) / (turnFleet.RETENTION_MS / 3));
    expect(countExtensionRequests(fleet)).toBeGreaterThan(0);
    expect(countExtensionRequests(fleet)).toBeLessThanOrEqual(2 * thirds);
  });

  test('the turns of many short conversations share their requests', async () => {
    const fleet = createFleet();
    const stores = ['a', 'b', 'c', 'd', 'e'].map((name) => fleet.start(name));
    for (let step = 0; step < 5; step += 1) {
      for (let conversation = 0; conversation < 40; conversation += 1) {
        const previous = step === 0 ? undefined : `${conversation}/${step - 1}`;
        const store = stores[(conversation + step) % stores.length]!;
        expect(await fleet.runTurn(store, `${conversation}/${step}`, previous)).toBe(true);
      }
      await fleet.advance(2_000);
    }
    expect(countExtensionRequests(fleet)).toBe(0);
    await fleet.advance(2 * turnFleet.RETENTION_MS);
    // Each VM sends one request to each other VM; it contains the turns of all conversations.
    expect(countExtensionRequests(fleet)).toBe(stores.length * (stores.length - 1));
    expect(await fleet.recordCount()).toBe(0);
  });

  test('expired turns do not accumulate at a VM that writes many', async () => {
    const fleet = createFleet();
    const a = fleet.start('a');
    for (let second = 0; second < 180; second += 1) {
      const ids = Array.from({ length: 30 }, (_, index) => `${second}/${index}`);
      await Promise.all(ids.map((id) => fleet.runTurn(a, id)));
      await fleet.advance(1_000);
    }
    expect(await fleet.storedTurnCount()).toBeLessThan(
      30 * (turnFleet.RETENTION_MS + REMOVED_WITHIN_MS) * 0.001,
    );
  });

  test('records of turns whose append got no response do not stay in the log', async () => {
    const fleet = createFleet();
    const a = fleet.start('a');
    fleet.log.losesAnswers = true;
    const stored = fleet.runTurn(a, 't1');
    await fleet.advance(2_000);
    expect(await stored).toBe(false);
    fleet.log.losesAnswers = false;
    await fleet.advance(1_000);
    expect(await fleet.recordCount()).toBeGreaterThan(0);
    await fleet.advance(turnFleet.RETENTION_MS + REMOVED_WITHIN_MS);
    expect(await fleet.recordCount()).toBe(0);
  });

  test('turns that expire during an outage of the log are removed after it', async () => {
    const fleet = createFleet();
    const a = fleet.start('a');
    for (let index = 0; index < 50; index += 1) await fleet.runTurn(a, `t${index}`);
    await fleet.advance(turnFleet.RETENTION_MS - PAUSE_MS);
    fleet.log.outage = keyedLog.LOG_FAILURES.UNAVAILABLE;
    await fleet.advance(3 * PAUSE_MS);
    fleet.log.outage = undefined;
    await fleet.advance(REMOVED_WITHIN_MS);
    expect(await fleet.recordCount()).toBe(0);
  });

  test('a stopped VM sends no requests, also for a lookup that ends after the stop', async () => {
    const fleet = createFleet();
    const [a, b] = [fleet.start('a'), fleet.start('b')];
    await fleet.runTurn(a, 't1');
    await fleet.advance(turnFleet.RETENTION_MS / 2);
    const last = fleet.runTurn(b, 't2', 't1');
    b.dispose();
    await last;
    await fleet.advance(2 * turnFleet.RETENTION_MS);
    expect(countExtensionRequests(fleet)).toBe(0);
  });

  test('a conversation at a single VM costs no message', async () => {
    const fleet = createFleet();
    await runConversation(fleet, [fleet.start('a')], 20);
    await fleet.advance(turnFleet.RETENTION_MS);
    fleet.dropHistory();
    expect(await fleet.find('t19')).toBe(turnIds(20).join(' '));
    expect(fleet.peers.sent).toEqual([]);
  });

  test('an ended branch is removed although another branch continues the same turn', async () => {
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
    expect(await fleet.find('t11')).toBe(turnIds(12).join(' '));
  });
});

function createFleet(): turnFleet.TurnFleet {
  const fleet = new turnFleet.TurnFleet();
  fleets.push(fleet);
  return fleet;
}

function turnIds(count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `t${index}`);
}

/** Runs the turns of a conversation one after the other, alternating between the VMs. */
async function runConversation(
  fleet: turnFleet.TurnFleet,
  stores: readonly ReturnType<turnFleet.TurnFleet['start']>[],
  count: number,
  pauseMs = PAUSE_MS,
): Promise<void> {
  const ids = turnIds(count);
  for (let index = 0; index < count; index += 1) {
    if (index > 0) await fleet.advance(pauseMs);
    fleet.dropHistory();
    const store = stores[index % stores.length]!;
    expect(await fleet.runTurn(store, ids[index]!, ids[index - 1])).toBe(true);
  }
}

function countExtensionRequests(fleet: turnFleet.TurnFleet): number {
  return fleet.peers.sent.filter((name) => name === messages.EXTEND_RETENTION.name).length;
}
