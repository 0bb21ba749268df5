import * as jestGlobals from '@jest/globals';
import * as trueMyth from 'true-myth';
import * as logFailures from './LogFailures.js';
import * as memoryKeyedLog from './testing/MemoryKeyedLog.js';
import * as readAllNewestRecords from './readAllNewestRecords.js';
import type { LogResult, NewestPage } from './Types.js';

const { expect, test } = jestGlobals;

const PARTITION = { topic: 'test', partition: 0 };
const MOST_CALLS = 10;

/** A log whose listings always return the same page and state that there is more. */
class RepeatingLog extends memoryKeyedLog.MemoryKeyedLog {
  public calls = 0;

  public override async newest(): Promise<LogResult<NewestPage>> {
    this.calls += 1;
    const records = [{ key: 'a', value: Buffer.from('1'), offset: 0 }];
    const hasMore = this.calls < MOST_CALLS;
    return trueMyth.Result.ok({ records, hasMore, endOffset: 1 });
  }
}

// Guards against a start that lists the same records until the memory is used up.
test('a listing that does not advance fails', async () => {
  const log = new RepeatingLog();
  const state = await readAllNewestRecords.readAllNewestRecords(log, PARTITION);
  expect(log.calls).toBe(2);
  expect(state.isErr && state.error.kind).toBe(logFailures.LOG_FAILURES.LOST);
});
