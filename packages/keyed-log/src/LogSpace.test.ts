import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as logging from '@limpettack/logging';
import * as logSpace from './LogSpace.js';

const { describe, expect, test } = jestGlobals;

const SECOND_MS = 1_000;

describe('LogSpace', () => {
  test('admits nothing while records are rejected, one from time to time if none is, and all after an append', () => {
    const { space, time } = createSpace();
    expect([space.admit(), space.admit()]).toEqual([true, true]);
    space.noteRejection();
    expect(space.admit()).toBe(false);
    time.advance(SECOND_MS);
    space.noteRejection();
    time.advance(SECOND_MS);
    expect(space.admit()).toBe(false);
    time.advance(SECOND_MS);
    expect([space.admit(), space.admit()]).toEqual([true, false]);
    time.advance(SECOND_MS);
    space.noteAppend();
    expect([space.admit(), space.admit()]).toEqual([true, true]);
  });

  // A short turn, or one that ended when the next one was tried, never showed that there was room.
  test.each([200, 550, 2_050, 2_500])(
    'a record that is appended %d ms after its attempt began shows that there is room',
    (spanMs) => {
      const { space, time } = createSpace();
      space.noteRejection();
      time.advance(3 * SECOND_MS);
      expect(space.admit()).toBe(true);
      time.advance(spanMs);
      space.admit();
      space.noteAppend();
      expect([space.admit(), space.admit()]).toEqual([true, true]);
    },
  );

  // Guards against turns that are admitted because a small record has found room.
  test('an append right after a rejection does not show that there is room', () => {
    const { space, time } = createSpace();
    space.noteRejection();
    time.advance(logSpace.FULL_RETRY_MS);
    space.noteAppend();
    expect(space.admit()).toBe(false);
  });
});

function createSpace(): { space: logSpace.LogSpace; time: clock.ManualClock } {
  const time = new clock.ManualClock();
  const logger = new logging.PartLogger('test');
  return { time, space: new logSpace.LogSpace({ clock: time, logger }) };
}
