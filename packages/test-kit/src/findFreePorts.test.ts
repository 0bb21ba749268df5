import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as jestGlobals from '@jest/globals';
import * as findFreePorts from './findFreePorts.js';

const { describe, expect, test } = jestGlobals;

/** Above the largest process id that the kernel gives. */
const NO_PROCESS = 2 ** 30;

describe('findFreePorts', () => {
  test('finds no port twice, whether or not it was bound meanwhile', async () => {
    const found = new Set<number>();
    // Of so many random choices among 22,000 ports, two are the same in nearly all runs.
    for (let round = 0; round < 20; round += 1) {
      (await findFreePorts.findFreePorts(20)).forEach((port) => found.add(port));
    }
    expect(found.size).toBe(400);
  });

  test('the claim of a process that has ended is removed', async () => {
    const [port = 0] = await findFreePorts.findFreePorts(1);
    expect(findFreePorts.claimPort(port)).toBe(false);
    const file = path.join(os.tmpdir(), 'limpettack-ports', String(port));
    fs.writeFileSync(file, String(NO_PROCESS));
    expect([findFreePorts.claimPort(port), findFreePorts.claimPort(port)]).toEqual([false, true]);
    expect(fs.readFileSync(file, 'utf8')).toBe(String(process.pid));
  });
});
