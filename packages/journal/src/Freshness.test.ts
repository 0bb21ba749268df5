import * as clock from '@limpettack/clock';
import * as jestGlobals from '@jest/globals';
import * as freshness from './Freshness.js';
import * as pauseDetector from './PauseDetector.js';

const { expect, test } = jestGlobals;

test('a confirmation is void after a pause of the process, however long it was to last', () => {
  const manual = new clock.ManualClock();
  const pauses = new pauseDetector.PauseDetector(manual, AbortSignal.abort());
  const fresh = new freshness.Freshness(manual, pauses);
  expect(fresh.isWithin(10_000)).toBe(false);
  fresh.confirm(manual.now());
  manual.advance(100);
  expect(fresh.isWithin(10_000)).toBe(true);
  expect(fresh.isWithin(100)).toBe(false);
  manual.advance(500);
  expect(fresh.isWithin(10_000)).toBe(false);
  manual.advance(1);
  fresh.confirm(manual.now());
  expect(fresh.isWithin(10_000)).toBe(true);
});
