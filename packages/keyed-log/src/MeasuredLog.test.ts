import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as logFailures from './LogFailures.js';
import * as measuredLog from './MeasuredLog.js';
import * as memoryKeyedLog from './testing/MemoryKeyedLog.js';

const { expect, test } = jestGlobals;

const PARTITION = { topic: 'turns', partition: 0 };

test('reports the outcome and the size of each call', async () => {
  const memory = new memoryKeyedLog.MemoryKeyedLog();
  const calls: measuredLog.LogCall[] = [];
  const log = new measuredLog.MeasuredLog({
    log: memory,
    clock: new clock.ManualClock(),
    observe: (call) => calls.push(call),
  });
  const records = [{ key: 'a', value: Buffer.alloc(10) }, { key: 'b' }];
  await log.append(PARTITION, records, { identity: { producer: 'p', sequence: 0 } });
  await log.newest(PARTITION);
  memory.outage = logFailures.LOG_FAILURES.UNAVAILABLE;
  await log.read(PARTITION, 0, { waitMs: 0 });
  expect(calls).toEqual([
    { call: 'append', topic: 'turns', bytes: 10, spanMs: 0, outcome: 'ok' },
    { call: 'newest', topic: 'turns', bytes: 10, spanMs: 0, outcome: 'ok' },
    { call: 'read', topic: 'turns', bytes: 0, spanMs: 0, outcome: 'unavailable' },
  ]);
});
