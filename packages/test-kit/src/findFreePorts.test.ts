import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as jestGlobals from '@jest/globals';
import * as findFreePorts from './findFreePorts.js';

const { describe, expect, test } = jestGlobals;

/** Greater than the kernel's maximum process id. */
const UNUSED_PROCESS_ID = 2 ** 30;

describe('findFreePorts', () => {
  test('never returns a port twice, even if it was not bound', async () => {
    const found = new Set<number>();
    // 400 random choices among 22,000 ports without claims would nearly always repeat a port.
    for (let round = 0; round < 20; round += 1) {
      (await findFreePorts.findFreePorts(20)).forEach((port) => found.add(port));
    }
    expect(found.size).toBe(400);
  });

  test('removes the claim of a process that has ended', async () => {
    const [port = 0] = await findFreePorts.findFreePorts(1);
    expect(findFreePorts.claimPort(port)).toBe(false);
    const file = path.join(os.tmpdir(), 'limpettack-ports', String(port));
    fs.writeFileSync(file, String(UNUSED_PROCESS_ID));
    expect([findFreePorts.claimPort(port), findFreePorts.claimPort(port)]).toEqual([false, true]);
    expect(fs.readFileSync(file, 'utf8')).toBe(String(process.pid));
  });
});
