import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as trueMyth from 'true-myth';
import * as coldTargets from './ColdTargets.js';
import * as coldFleet from './testing/ColdFleet.js';
import * as fixtures from './testing/gatewayFixtures.js';
import * as recordedLogger from './testing/RecordedLogger.js';

const { describe, expect, test } = jestGlobals;

const TARGET = fixtures.createTarget('one');
const LATER = { ...TARGET, incarnation: '2' };
const MALFORMED = { target: TARGET, coldLeftMs: trueMyth.Result.err<undefined, string>('invalid') };

function create(durationMs?: number) {
  const time = new clock.ManualClock();
  const logger = new recordedLogger.RecordedLogger();
  const tables = coldFleet.createTables(durationMs ? { durationMs, ratePerSecond: 4 } : undefined);
  return { time, logger, cold: new coldTargets.ColdTargets({ tables, clock: time, logger }) };
}

describe('ColdTargets', () => {
  // Guards against a malformed entry that ends or extends a cold period, or fills the log.
  test('after malformed entries the last valid one remains in effect', () => {
    const { cold, logger, time } = create(8_000);
    cold.reset([coldFleet.list(TARGET, 3_000)]);
    time.advance(1_000);
    [MALFORMED, MALFORMED].forEach((entry) => cold.update(entry));
    expect(cold.coldUntil(TARGET)).toBe(3_000);
    time.advance(2_000);
    const logged = logger.lines.map(({ fields }) => fields.kind ?? fields.reason);
    expect(logged).toEqual(['cold', 'invalid', 'warm']);
  });

  // Guards against new processes that are treated as warm, and against a fleet that treats all
  // targets as cold after its own start or after an outage in which their entries disappeared.
  test('only a new process is cold without a statement, except in the first listing', () => {
    const { cold, time } = create(8_000);
    cold.reset([coldFleet.list(TARGET)]);
    cold.remove('one');
    cold.reset([coldFleet.list(TARGET)]);
    expect(cold.count).toBe(0);
    cold.update(coldFleet.list(LATER));
    time.advance(7_000);
    [LATER, fixtures.createTarget('two')].forEach((target, index) =>
      cold.update(coldFleet.list(target, index === 0 ? undefined : 0)),
    );
    expect([cold.count, cold.coldUntil(LATER)]).toEqual([1, 8_000]);
  });

  test('a pool without a cold time has no cold targets and logs nothing', () => {
    const { cold, logger } = create();
    cold.reset([]);
    [coldFleet.list(TARGET, 3_000), MALFORMED].forEach((entry) => cold.update(entry));
    cold.markDomain('a', 0);
    expect([cold.count, logger.lines.length]).toEqual([0, 0]);
  });
});
