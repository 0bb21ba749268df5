import * as childProcess from 'node:child_process';
import * as path from 'node:path';
import * as util from 'node:util';
import * as jestGlobals from '@jest/globals';

const { describe, expect, test } = jestGlobals;

const ROOT = path.join(import.meta.dirname, '..');
const SEED = 1;
const SPAN_MS = 4_000;

/** For the faults, the end of all programs, and the way back after the loss of power. */
const TIMEOUT_MS = 90_000;

const execFile = util.promisify(childProcess.execFile);

describe('the program of the platform, as processes under faults', () => {
  test(
    'breaks no promise',
    async () => {
      await execFile(process.execPath, [path.join(ROOT, 'platform', 'build.mjs')]);
      const soak = path.join(ROOT, 'benchmarks', 'platform-soak', 'platformSoak.mjs');
      const options = ['--seeds', '1', '--first', String(SEED), '--span', String(SPAN_MS)];
      // A violation ends the soak with a failure, which holds the output as well.
      const ended = execFile(process.execPath, [soak, ...options]);
      const { code, stderr, stdout } = await ended.then(
        (output) => ({ code: 0, ...output }),
        (failure) => failure,
      );
      expect(stdout + stderr).toContain(`seed ${SEED}: 0 violations`);
      expect(code).toBe(0);
    },
    TIMEOUT_MS,
  );
});
