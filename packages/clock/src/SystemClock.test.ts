import * as jestGlobals from '@jest/globals';
import * as systemClock from './SystemClock.js';

const { expect, test } = jestGlobals;

test('a span longer than timers can take does not end at once', async () => {
  const clock = new systemClock.SystemClock();
  let hasFired = false;
  const timer = clock.startTimer(Number.POSITIVE_INFINITY, () => {
    hasFired = true;
  });
  await clock.sleep(20);
  timer.cancel();
  expect(hasFired).toBe(false);
});
