import * as childProcess from 'node:child_process';
import * as path from 'node:path';
import * as util from 'node:util';
import * as jestGlobals from '@jest/globals';

const { describe, expect, test } = jestGlobals;

const ROOT = path.join(import.meta.dirname, '..');
const SEED = 1;
const DURATION_MS = 4_000;
/** Turns per second and VM, as on the users' sites. */
const RATE = 22;

/** Covers the faults, the completion of all programs and the recovery from a power loss. */
const TIMEOUT_MS = 90_000;

const execFile = util.promisify(childProcess.execFile);

describe('processes of the platform build under faults', () => {
  test(
    'violate no guarantee',
    async () => {
      await execFile(process.execPath, [path.join(ROOT, 'platform', 'build.mjs')]);
      const soak = path.join(ROOT, 'benchmarks', 'platform-soak', 'platformSoak.mjs');
      const options = ['--seeds', '1', '--first', SEED, '--span', DURATION_MS, '--rate', RATE];
      // The soak exits with an error on a violation; the error also holds the output.
      const finished = execFile(process.execPath, [soak, ...options.map(String)]);
      const { code, stderr, stdout } = await finished.then(
        (output) => ({ code: 0, ...output }),
        (failure) => failure,
      );
      expect(stdout + stderr).toContain(`seed ${SEED}: 0 violations`);
      expect(stdout).toMatch(/no process dies by itself: [1-9]\d* checks, 0 violated/);
      expect(stdout).toMatch(/no process exceeds its memory limit: [1-9]\d* checks, 0 violated/);
      expect(stdout).toContain('VMs that ended three times by themselves: 0');
      // The traffic must have been served for the limit to mean something.
      expect(stdout).toMatch(/traffic: answers with 200: [1-9]/);
      expect(code).toBe(0);
    },
    TIMEOUT_MS,
  );
});
