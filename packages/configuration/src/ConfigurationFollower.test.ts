import * as clock from '@limpettack/clock';
import * as jestGlobals from '@jest/globals';
import * as lifetime from '@limpettack/lifetime';
import * as logging from '@limpettack/logging';
import * as configurationFollower from './ConfigurationFollower.js';
import * as keyDigest from './keyDigest.js';
import * as createTables from './testing/createTables.js';
import * as fakeLog from './testing/FakeLog.js';
import * as fakeNetwork from './testing/FakeNetwork.js';

const { afterEach, describe, expect, test } = jestGlobals;

const disposables: lifetime.Disposable[] = [];

afterEach(async () => {
  await Promise.all(disposables.splice(0).map((item) => item.dispose()));
});

function createFleet() {
  const log = new fakeLog.FakeLog();
  const network = new fakeNetwork.FakeNetwork();
  const cutOff = new Set<string>();
  const addresses: string[] = [];
  const start = (address: string) => {
    addresses.push(address);
    const follower = new configurationFollower.ConfigurationFollower({
      log: log.createClient(() => cutOff.has(address), address),
      network: network.createPeer(address),
      peers: () => addresses.filter((other) => other !== address),
      clock: new clock.SystemClock(),
      logger: new logging.PartLogger('configuration'),
      pollWaitMs: 200,
    });
    disposables.push(follower);
    follower.start();
    return follower;
  };
  return { log, network, cutOff, start };
}

async function waitUntil(condition: () => boolean): Promise<void> {
  const system = new clock.SystemClock();
  while (!condition()) await system.sleep(10);
}

describe('ConfigurationFollower', () => {
  test('applies edits from the log and rejects withdrawn keys', async () => {
    const { log, start } = createFleet();
    const digest = keyDigest.keyDigest('lk_one');
    log.push(createTables.createEdit(0, createTables.createTablesChange()));
    log.push('not a record');
    const key = { digest, workspace: 'andes', label: '' };
    log.push(createTables.createEdit(1, { kind: 'giveKey', key }));
    const follower = start('one');
    await waitUntil(() => follower.isReady());
    const withdrawn: string[] = [];
    follower.onKeyWithdrawn((value) => withdrawn.push(value));
    const caller = follower.identify('lk_one').unwrapOr({});
    expect(caller).toEqual({ workspace: 'andes', keyDigest: digest });
    expect(follower.routeFor(caller, 'lens-desk').isOk).toBe(true);
    expect(follower.routeFor({}, 'info').isOk).toBe(true);
    expect(follower.routeFor({}, 'lens-desk')).toMatchObject({ error: { kind: 'key-required' } });
    const other = { workspace: 'costa' };
    expect(follower.routeFor(other, 'lens-desk')).toMatchObject({
      error: { kind: 'route-unknown' },
    });
    log.push(createTables.createEdit(2, { kind: 'withdrawKey', digest }));
    await waitUntil(() => withdrawn.length > 0);
    expect(withdrawn).toEqual([digest]);
    expect(follower.identify('lk_one')).toMatchObject({ error: { kind: 'key-withdrawn' } });
    expect(follower.identify('lk_two')).toMatchObject({ error: { kind: 'key-unknown' } });
    expect(follower.unreadableRecords()).toBe(1);
  });

  test.each(['cut off', 'unresponsive'])(
    'receives edits from peers within 5 s when the log is %s',
    async (state) => {
      const { log, cutOff, start } = createFleet();
      const followers = ['one', 'two', 'three', 'four', 'five'].map(start);
      await waitUntil(() => followers.every((follower) => follower.isReady()));
      if (state === 'unresponsive') log.isUnresponsive = (client) => client !== 'one';
      else ['two', 'three', 'four', 'five'].forEach((address) => cutOff.add(address));
      const startedAt = performance.now();
      log.push(createTables.createEdit(0, createTables.createTablesChange()));
      await waitUntil(() => followers.every((follower) => follower.current().version === 1));
      expect(performance.now() - startedAt).toBeLessThan(5_000);
    },
  );

  test('becomes ready in an outage only if a ready peer is reachable', async () => {
    const { log, network, cutOff, start } = createFleet();
    log.push(createTables.createEdit(0, createTables.createTablesChange()));
    const first = start('one');
    await waitUntil(() => first.isReady());
    ['one', 'two', 'three'].forEach((address) => cutOff.add(address));
    network.unreachable.add('three');
    const second = start('two');
    const third = start('three');
    await waitUntil(() => second.isReady());
    expect(second.current().version).toBe(1);
    expect(third.isReady()).toBe(false);
    cutOff.delete('three');
    await waitUntil(() => third.isReady());
    expect(third.current().version).toBe(1);
  });

  test('closes a gap from a peer when the log holds no snapshot', async () => {
    const { log, start } = createFleet();
    log.push(createTables.createEdit(0, createTables.createTablesChange()));
    log.push(createTables.createEdit(1, { kind: 'removeRoute', name: 'info' }));
    const first = start('one');
    await waitUntil(() => first.isReady());
    log.firstOffset = 2;
    const second = start('two');
    await waitUntil(() => second.isReady());
    expect(second.current()).toEqual(first.current());
  });

  test('appends a snapshot before its records expire, so that a later VM has the state', async () => {
    const { log, start } = createFleet();
    log.retentionMs = 2_000;
    log.ageMs = 1_500;
    log.push(createTables.createEdit(0, createTables.createTablesChange()));
    const first = start('one');
    await waitUntil(() => log.payloads.length > 1);
    log.ageMs = 0;
    log.firstOffset = 1;
    const second = start('two');
    await waitUntil(() => second.isReady());
    expect(second.current()).toEqual(first.current());
  });
});
