import * as childProcess from 'node:child_process';
import * as path from 'node:path';
import * as util from 'node:util';
import * as jestGlobals from '@jest/globals';

const { describe, expect, test } = jestGlobals;

const ROOT = path.join(import.meta.dirname, '..');
const SEED = 1;
const DURATION_MS = 4_000;

/** Covers the faults, the completion of all programs and the recovery from a power loss. */
const TIMEOUT_MS = 90_000;

const execFile = util.promisify(childProcess.execFile);

describe('processes of the platform build under faults', () => {
  test(
    'violate no guarantee',
    async () => {
      await execFile(process.execPath, [path.join(ROOT, 'platform', 'build.mjs')]);
      const soak = path.join(ROOT, 'benchmarks', 'platform-soak', 'platformSoak.mjs');
      const options = ['--seeds', '1', '--first', String(SEED), '--span', String(DURATION_MS)];
      // The soak exits with an error on a violation; the error also holds the output.
      const finished = execFile(process.execPath, [soak, ...options]);
      const { code, stderr, stdout } = await finished.then(
        (output) => ({ code: 0, ...output }),
        (failure) => failure,
      );
      expect(stdout + stderr).toContain(`seed ${SEED}: 0 violations`);
      expect(code).toBe(0);
    },
    TIMEOUT_MS,
  );
});
