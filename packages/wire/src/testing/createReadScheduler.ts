import * as clock from '@limpettack/clock';
import * as logging from '@limpettack/logging';
import * as readScheduler from '../ReadScheduler.js';

/** Creates a scheduler for the connections of a test. */
export function createReadScheduler(): readScheduler.ReadScheduler {
  return new readScheduler.ReadScheduler({
    clock: new clock.SystemClock(),
    logger: new logging.PartLogger('node'),
  });
}
