import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as workspaceAllowance from './WorkspaceAllowance.js';
import type { AdmissionResult } from './Types.js';
import * as waitPolicy from './waitPolicy.js';

const { describe, expect, test } = jestGlobals;

const LOAD = 200;
const MAXIMUM_WAIT_MS = 300;

/** Timeout after which the owner is treated as unresponsive. */
const OWNER_TIMEOUT_MS = 900;

describe('WorkspaceAllowance', () => {
  test('requests wait for an unresponsive owner no longer than their maximum wait', async () => {
    const time = new clock.ManualClock();
    const allowance = new workspaceAllowance.WorkspaceAllowance({
      clock: time,
      requestFromOwner: () => time.sleep(OWNER_TIMEOUT_MS).then(() => undefined),
      requestFromDeputy: () => time.sleep(OWNER_TIMEOUT_MS).then(() => undefined),
    });
    const admissions: AdmissionResult[] = [];
    for (let request = 0; request < LOAD; request += 1) {
      allowance
        .admit({ isBegin: false, maximumWaitMs: MAXIMUM_WAIT_MS })
        .then((admission) => admissions.push(admission));
    }
    time.advance(MAXIMUM_WAIT_MS - 1);
    await settleEvents();
    expect(admissions).toHaveLength(0);
    time.advance(1);
    await settleEvents();
    expect(admissions).toHaveLength(LOAD);
    admissions.forEach((admission) =>
      expect(!admission.isAdmitted && admission.retryAfterMs > 0).toBe(true),
    );
    // Requests that no longer wait cause no further requests to the owner.
    time.advance(OWNER_TIMEOUT_MS);
    await settleEvents();
    time.advance(OWNER_TIMEOUT_MS);
    await settleEvents();
    expect(admissions).toHaveLength(LOAD);
  });

  // Callers that were refused together would be refused together again.
  test.each([
    [undefined, 400, 400],
    [0, 400, 300],
    [1, 400, 500],
    // A fraction would be in the body of the refusal.
    [0.3, 401, 361],
    [0, 0, 50],
    [1, 9_000, 2_000],
    [0, 9_000, 1_500],
  ])(
    'with the random number %s, a wait of %d ms is retried after %d ms',
    (drawn, waitMs, delay) => {
      const random = drawn === undefined ? undefined : () => drawn;
      expect(waitPolicy.retryDelayMs(waitMs, random)).toBe(delay);
    },
  );
});

function settleEvents(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}
