import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as keyedLog from '@limpettack/keyed-log';
import * as logging from '@limpettack/logging';
import * as trueMyth from 'true-myth';
import * as contentSearches from './ContentSearches.js';

const { describe, expect, test } = jestGlobals;

const PAGE_SIZE = 50;
const KEYS = Array.from({ length: 1_000 }, (_, index) => keyOf(index));
const PAGES = KEYS.length / PAGE_SIZE;
const PARTITION = { topic: 'turns', partition: 0 };

describe('ContentSearches', () => {
  // Each search listed a megabyte for itself, so most conversations were refused after a restart of
  // all VMs.
  test('searches that wait at the same time need no more listings than reading all contents once', async () => {
    const { log, searches } = createSearches();
    const numbers = Array.from({ length: 350 }, (_, index) => (index * 389) % KEYS.length);
    const found = await Promise.all(
      numbers.map((number) => searches.find(PARTITION, keyOf(number))),
    );
    expect(found.map((result) => result.unwrapOr(undefined)?.key)).toEqual(numbers.map(keyOf));
    expect(log.listings).toBeLessThanOrEqual(PAGES + 1);
  });

  test('a single search lists from its key on, and the other records are passed on', async () => {
    const { listed, log, searches } = createSearches();
    const found = await searches.find(PARTITION, keyOf(500));
    expect(found.unwrapOr(undefined)?.key).toBe(keyOf(500));
    expect(log.listings).toBe(1);
    expect(listed).toEqual(KEYS.slice(500, 500 + PAGE_SIZE));
  });

  test('keys without a record are reported as absent, also behind the last record', async () => {
    const { searches } = createSearches();
    const keys = [`${keyOf(3)}x`, `${keyOf(999)}x`];
    const found = await Promise.all(keys.map((key) => searches.find(PARTITION, key)));
    expect(found).toEqual([trueMyth.Result.ok(undefined), trueMyth.Result.ok(undefined)]);
  });

  test('a search is reached although others for lower keys and in other partitions keep coming', async () => {
    const { log, searches } = createSearches();
    let isFound = false;
    const search = searches.find(PARTITION, keyOf(999)).then(() => {
      isFound = true;
    });
    for (let wave = 0; wave < 3 * PAGES && !isFound; wave += 1) {
      searches.find(PARTITION, keyOf(wave));
      searches.find({ ...PARTITION, partition: 1 }, keyOf(wave));
      await settle();
    }
    await search;
    expect(log.listings).toBeLessThanOrEqual(3 * PAGES);
  });

  test('searches that wait fail when the process stops', async () => {
    const { searches } = createSearches();
    const waiting = [1, 999].map((number) => searches.find(PARTITION, keyOf(number)));
    searches.dispose();
    const late = searches.find(PARTITION, keyOf(2));
    const found = await Promise.all([...waiting, late]);
    expect(found.every(({ isErr }) => isErr)).toBe(true);
  });

  test('an exception of the log fails one search, and the others are tried', async () => {
    const { log, searches } = createSearches();
    const { newest } = log;
    log.newest = () => {
      log.newest = newest;
      throw new Error('unexpected');
    };
    const numbers = [5, 300];
    const found = await Promise.all(
      numbers.map((number) => searches.find(PARTITION, keyOf(number))),
    );
    expect(found.map(({ isOk }) => isOk)).toEqual([false, true]);
  });

  test('a failed listing fails one search, and the others are tried', async () => {
    const { log, searches } = createSearches();
    log.failures = 1;
    const found = await Promise.all(
      [5, 300, 700].map((number) => searches.find(PARTITION, keyOf(number))),
    );
    expect(found.map(({ isOk }) => isOk)).toEqual([false, true, true]);
  });
});

interface TestLog extends Pick<keyedLog.KeyedLog, 'newest'> {
  listings: number;
  /** The number of next listings that fail. */
  failures: number;
}

function createSearches(): {
  readonly searches: contentSearches.ContentSearches;
  readonly log: TestLog;
  readonly listed: readonly string[];
} {
  const listed: string[] = [];
  const log: TestLog = {
    listings: 0,
    failures: 0,
    newest: async (_partition, after = '') => {
      log.listings += 1;
      await settle();
      if (log.failures > 0) {
        log.failures -= 1;
        const kind = keyedLog.LOG_FAILURES.UNAVAILABLE;
        return trueMyth.Result.err({ kind, message: 'outage' });
      }
      const rest = KEYS.filter((key) => key > after);
      const records = rest.slice(0, PAGE_SIZE).map((key, offset) => ({ key, offset }));
      const hasMore = rest.length > records.length;
      return trueMyth.Result.ok({ records, hasMore, endOffset: KEYS.length });
    },
  };
  const searches = new contentSearches.ContentSearches({
    log,
    clock: new clock.ManualClock(),
    logger: new logging.PartLogger('test'),
    onListed: (records) => listed.push(...records.map(({ key }) => key)),
  });
  return { searches, log, listed };
}

function keyOf(number: number): string {
  return `content/${String(number).padStart(4, '0')}`;
}

function settle(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}
