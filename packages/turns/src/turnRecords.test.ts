import * as jestGlobals from '@jest/globals';
import * as msgpackr from 'msgpackr';
import * as turnRecords from './turnRecords.js';

const { describe, expect, test } = jestGlobals;

/** As releases wrote it that did not say who writes a turn, and when. */
const EARLIER_RELEASE = {
  id: 't2',
  previous: 't1',
  workspace: 'w',
  content: Buffer.from('content'),
  earlier: [{ id: 't1', offset: 3 }],
  further: [],
};

describe('turnRecords', () => {
  test('a record of an earlier release is read', () => {
    const record = turnRecords.decodeContent(msgpackr.pack(EARLIER_RELEASE));
    expect(record?.previous).toBe('t1');
    expect(record?.writer).toBeUndefined();
  });

  test('a record says who wrote the turn, and when', () => {
    const written = { ...EARLIER_RELEASE, writer: 'vm-1:80', writtenAt: 1_800_000_000_000 };
    const record = turnRecords.decodeContent(turnRecords.encode(written));
    expect(record).toMatchObject({ writer: 'vm-1:80', writtenAt: 1_800_000_000_000 });
  });

  test('a turn that a process of an earlier release sends is taken', () => {
    const { further, ...turn } = EARLIER_RELEASE;
    expect(turnRecords.TURN_RECORD.safeParse({ ...turn, offset: 4 }).success).toBe(true);
  });
});
