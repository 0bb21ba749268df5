import * as jestGlobals from '@jest/globals';
import * as msgpackr from 'msgpackr';
import * as turnRecords from './turnRecords.js';

const { describe, expect, test } = jestGlobals;

/** A record of an earlier release, without the writer and the time of writing. */
const EARLIER_RELEASE = {
  id: 't2',
  previous: 't1',
  workspace: 'w',
  content: Buffer.from('content'),
  earlier: [{ id: 't1', offset: 3 }],
  further: [],
};

describe('turnRecords', () => {
  test('decodes a record of an earlier release', () => {
    const record = turnRecords.decodeContent(msgpackr.pack(EARLIER_RELEASE));
    expect(record?.previous).toBe('t1');
    expect(record?.writer).toBeUndefined();
  });

  test('a record contains the writer and the time of writing', () => {
    const written = { ...EARLIER_RELEASE, writer: 'vm-1:80', writtenAt: 1_800_000_000_000 };
    const record = turnRecords.decodeContent(turnRecords.encode(written));
    expect(record).toMatchObject({ writer: 'vm-1:80', writtenAt: 1_800_000_000_000 });
  });

  test('accepts a turn that a process of an earlier release sends', () => {
    const { further, ...turn } = EARLIER_RELEASE;
    expect(turnRecords.TURN_RECORD.safeParse({ ...turn, offset: 4 }).success).toBe(true);
  });
});
