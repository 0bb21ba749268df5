import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as logging from '@limpettack/logging';
import type * as membership from '@limpettack/membership';
import * as trueMyth from 'true-myth';
import * as leftoverRemoval from './LeftoverRemoval.js';
import * as turnFleet from './testing/TurnFleet.js';

const { afterEach, describe, expect, test } = jestGlobals;

/** The time after which a turn that nobody continues has been removed, also after its writer ended. */
const REMOVED_WITHIN_MS = turnFleet.RETENTION_MS + turnFleet.LONGEST_RUN_MS + 90_000;

const fleets: turnFleet.TurnFleet[] = [];

afterEach(() => {
  fleets.splice(0).forEach((fleet) => fleet.dispose());
});

describe('LeftoverRemoval', () => {
  test('turns of a process that has ended do not fill the store for good', async () => {
    const fleet = createFleet();
    const [a] = [fleet.start('a'), fleet.start('b'), fleet.start('c')];
    for (let turn = 0; turn < 20; turn += 1) await fleet.runTurn(a, `t${turn}`);
    fleet.stop('a', a);
    await fleet.advance(REMOVED_WITHIN_MS);
    expect(await fleet.recordCount()).toBe(0);
  });

  test('turns do not fill the store when all processes lose power again and again', async () => {
    const fleet = createFleet();
    for (let start = 0; start < 10; start += 1) {
      const vms = ['a', 'b', 'c'].map((name) => ({ name, store: fleet.start(name) }));
      for (const { name, store } of vms) await fleet.runTurn(store, `${name}${start}`);
      await fleet.advance(1_000);
      vms.forEach(({ name, store }) => fleet.stop(name, store));
    }
    expect(await fleet.recordCount()).toBeGreaterThan(0);
    fleet.start('d');
    await fleet.advance(REMOVED_WITHIN_MS);
    expect(await fleet.recordCount()).toBe(0);
  });

  test('a turn of a process that has ended is retained while a conversation continues it', async () => {
    const fleet = createFleet();
    const [a, b] = [fleet.start('a'), fleet.start('b')];
    await fleet.runTurn(a, 't0');
    fleet.stop('a', a);
    const ids = Array.from({ length: 12 }, (_, index) => `t${index}`);
    for (let index = 1; index < ids.length; index += 1) {
      await fleet.advance(turnFleet.RETENTION_MS - 5_000);
      expect(await fleet.runTurn(b, ids[index]!, ids[index - 1], 4_000)).toBe(true);
    }
    await fleet.advance(turnFleet.RETENTION_MS - 5_000);
    fleet.dropHistory();
    expect(await fleet.find(ids.at(-1)!)).toBe(ids.join(' '));
    await fleet.advance(REMOVED_WITHIN_MS);
    expect(await fleet.recordCount()).toBe(0);
  });

  test('a turn of a process that has ended is retained during the longest run that continues it', async () => {
    const fleet = createFleet();
    const [a, b] = [fleet.start('a'), fleet.start('b')];
    await fleet.runTurn(a, 't1');
    fleet.stop('a', a);
    await fleet.advance(turnFleet.RETENTION_MS - 1_000);
    expect(await fleet.runTurn(b, 't2', 't1', turnFleet.LONGEST_RUN_MS)).toBe(true);
    await fleet.advance(turnFleet.RETENTION_MS - 1_000);
    fleet.dropHistory();
    expect(await fleet.find('t2')).toBe('t1 t2');
  });

  // A turn that was recorded while the VM that lists was frozen was not in the pages it had read.
  test('a turn is retained that another one has continued during the listing', async () => {
    const time = new clock.ManualClock();
    const removed: string[] = [];
    let listings = 0;
    const marked = { previous: undefined, process: 'a.1', keepMs: 60_000, partCount: 0 };
    const network = { self: { name: 'b', incarnation: '2', address: 'b', failureDomain: 'a' } };
    const own = { ...network.self, state: 'available', listed: true, leaving: false } as const;
    // Its end makes the turns be listed before the turn is due.
    let other: membership.Member | undefined = { ...own, name: 'c', address: 'c' };
    const removal = new leftoverRemoval.LeftoverRemoval({
      log: {
        visitAll: async (visit) => {
          listings += 1;
          await visit([{ ...marked, id: 'a1' }]);
          return trueMyth.Result.ok(undefined);
        },
        remove: async (id) => {
          removed.push(id);
          return trueMyth.Result.ok({ firstOffset: 0, endOffset: 1 });
        },
      },
      network,
      membership: { available: () => (other === undefined ? [own] : [own, other]) },
      clock: time,
      logger: new logging.PartLogger('test'),
    });
    const advance = async (spanMs: number): Promise<void> => {
      time.advance(spanMs);
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    };
    while (listings === 0) await advance(5_000);
    const dueAt = time.now() + 65_000;
    await advance(30_000);
    other = undefined;
    while (listings === 1) await advance(5_000);
    expect(time.now()).toBeLessThan(dueAt);
    await advance(120_000);
    expect(removed).toEqual([]);
    while (listings === 2) await advance(5_000);
    await advance(5_000);
    expect(removed).toEqual(['a1']);
    removal.dispose();
  });

  test('an exception during a listing does not end all later listings', async () => {
    const fleet = createFleet();
    const [a] = [fleet.start('a'), fleet.start('b'), fleet.start('c')];
    await fleet.runTurn(a, 't1');
    fleet.stop('a', a);
    const { newest } = fleet.log;
    fleet.log.newest = () => {
      throw new Error('unexpected');
    };
    await fleet.advance(60_000);
    fleet.log.newest = newest;
    await fleet.advance(REMOVED_WITHIN_MS);
    expect(await fleet.recordCount()).toBe(0);
  });

  test('no turns are listed while all processes run', async () => {
    const fleet = createFleet();
    const [a] = [fleet.start('a'), fleet.start('b')];
    await fleet.advance(60_000);
    const reads = fleet.log.readCount;
    await fleet.runTurn(a, 't1');
    await fleet.advance(300_000);
    expect(fleet.log.readCount).toBe(reads);
  });
});

function createFleet(): turnFleet.TurnFleet {
  const fleet = new turnFleet.TurnFleet();
  fleets.push(fleet);
  return fleet;
}
