import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as responseMeasurement from './ResponseMeasurement.js';
import * as routeTimes from './RouteTimes.js';

const { expect, test } = jestGlobals;

// The first chunk depends on the prompt, a pause on the caller, and an error on neither pace nor
// load. Unary responses are compared with the one before, which took 40 ms.
test.each([
  ['stream', [500, 520, 560], 200, false, { value: 30, kind: 'stream' }],
  ['stream', [500, 520], 200, false, undefined],
  ['stream', [500, 500, 500], 200, false, undefined],
  ['stream', [500, 520, 560], 200, true, undefined],
  ['stream', [500, 520, 560], 503, false, undefined],
  ['once', [100], 200, false, { value: 2.5, kind: 'unary' }],
  ['once', [100], 404, false, undefined],
] as const)('%s, chunks at %j, status %d, paused: %p', (kind, chunks, status, isPaused, sample) => {
  const time = new clock.ManualClock();
  const times = new routeTimes.RouteTimes();
  expect(times.record('route', 40)).toBeUndefined();
  const options = { route: { name: 'route', kind }, times, clock: time };
  const measurement = new responseMeasurement.ResponseMeasurement(options);
  measurement.recordHead(status);
  if (isPaused) measurement.recordPause();
  chunks.forEach((at) => {
    time.advance(at - time.now());
    measurement.recordChunk();
  });
  expect(measurement.finish()).toEqual(sample);
});
