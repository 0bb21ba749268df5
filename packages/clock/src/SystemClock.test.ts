import * as jestGlobals from '@jest/globals';
import * as systemClock from './SystemClock.js';

const { expect, test } = jestGlobals;

test('a duration longer than the maximum delay of a timer does not end at once', async () => {
  const clock = new systemClock.SystemClock();
  let hasFired = false;
  const timer = clock.startTimer(Number.POSITIVE_INFINITY, () => {
    hasFired = true;
  });
  await clock.sleep(20);
  timer.cancel();
  expect(hasFired).toBe(false);
});
