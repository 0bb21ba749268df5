import * as clock from '@limpettack/clock';
import * as jestGlobals from '@jest/globals';
import * as ownershipConfirmation from './OwnershipConfirmation.js';
import * as pauseDetector from './PauseDetector.js';

const { expect, test } = jestGlobals;

test('a confirmation is no longer valid after a pause of the process, whatever age is allowed', () => {
  const manual = new clock.ManualClock();
  const pauses = new pauseDetector.PauseDetector(manual, AbortSignal.abort());
  const confirmation = new ownershipConfirmation.OwnershipConfirmation(manual, pauses);
  expect(confirmation.isYoungerThan(10_000)).toBe(false);
  confirmation.confirm(manual.now());
  manual.advance(100);
  expect(confirmation.isYoungerThan(10_000)).toBe(true);
  expect(confirmation.isYoungerThan(100)).toBe(false);
  manual.advance(500);
  expect(confirmation.isYoungerThan(10_000)).toBe(false);
  manual.advance(1);
  confirmation.confirm(manual.now());
  expect(confirmation.isYoungerThan(10_000)).toBe(true);
});
