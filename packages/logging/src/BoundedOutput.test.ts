import * as jestGlobals from '@jest/globals';
import * as boundedOutput from './BoundedOutput.js';

const { describe, expect, test } = jestGlobals;

describe('BoundedOutput', () => {
  test('writes pending lines together and in order', async () => {
    const written: string[] = [];
    const output = new boundedOutput.BoundedOutput((text, onDone) => {
      written.push(text);
      onDone();
    });
    output.write('one');
    output.write('two');
    await new Promise((resolve) => {
      setTimeout(resolve, 200);
    });
    expect(written).toEqual(['one\ntwo\n']);
  });

  test('drops and counts lines while the output is blocked, and resumes afterwards', async () => {
    const pending: (() => void)[] = [];
    const written: string[] = [];
    const output = new boundedOutput.BoundedOutput((text, onDone) => {
      written.push(text);
      pending.push(onDone);
    });
    const line = 'x'.repeat(100_000);
    output.write('first');
    await new Promise((resolve) => {
      setTimeout(resolve, 200);
    });
    for (let count = 0; count < 25; count += 1) output.write(line);
    pending.shift()!();
    await new Promise((resolve) => {
      setTimeout(resolve, 200);
    });
    expect(written).toHaveLength(2);
    expect(written[1]!.split('\n').filter((text) => text === line)).toHaveLength(10);
    expect(written[1]).toContain('"count":15');
  });
});
