// A record whose digest could not be computed made each read of its partition fail.

import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as partitionMirror from './PartitionMirror.js';

const { describe, expect, test } = jestGlobals;

describe('PartitionMirror', () => {
  test('keeps records whose digest cannot be computed', () => {
    const mirror = new partitionMirror.PartitionMirror({
      clock: new clock.SystemClock(),
      digestOf: ({ key }) => {
        if (key === 'odd') throw new RangeError('Maximum call stack size exceeded');
        return key;
      },
    });
    const value = Buffer.from('1');
    const records = ['odd', 'a', 'odd'].map((key, offset) => ({ key, value, offset }));
    mirror.reset({ records: records.slice(0, 2), endOffset: 2 });
    mirror.apply({ records: records.slice(2), nextOffset: 3 });
    expect(mirror.state()?.records.map(({ key, offset }) => [key, offset])).toEqual([
      ['odd', 2],
      ['a', 1],
    ]);
  });
});
