import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as workspaceAllowance from './WorkspaceAllowance.js';
import type { Admission } from './Types.js';

const { describe, expect, test } = jestGlobals;

const LIMIT = { ratePerSecond: 40, burst: 40 };
const LOAD = 200;
const PATIENCE_MS = 300;

/** After so long the owner is taken for silent. */
const SILENT_MS = 900;

describe('WorkspaceAllowance', () => {
  test('requests wait for a silent owner no longer than their patience', async () => {
    const time = new clock.ManualClock();
    const allowance = new workspaceAllowance.WorkspaceAllowance({
      clock: time,
      askOwner: () => time.sleep(SILENT_MS).then(() => undefined),
      memberCount: () => 3,
    });
    const answers: Admission[] = [];
    for (let asker = 0; asker < LOAD; asker += 1) {
      allowance.admit(LIMIT, false, PATIENCE_MS).then((answer) => answers.push(answer));
    }
    time.advance(PATIENCE_MS - 1);
    await eventsSettle();
    expect(answers).toHaveLength(0);
    time.advance(1);
    await eventsSettle();
    expect(answers).toHaveLength(LOAD);
    answers.forEach((answer) => expect(!answer.isAdmitted && answer.retryAfterMs > 0).toBe(true));
    // The owner is not asked on for requests that nobody waits for.
    time.advance(SILENT_MS);
    await eventsSettle();
    time.advance(SILENT_MS);
    await eventsSettle();
    expect(answers).toHaveLength(LOAD);
  });
});

function eventsSettle(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}
