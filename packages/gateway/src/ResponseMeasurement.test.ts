import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as responseMeasurement from './ResponseMeasurement.js';
import * as routeTimes from './RouteTimes.js';
import type { RouteKind } from './Types.js';

const { describe, expect, test } = jestGlobals;

interface Response {
  readonly status?: number;
  /** Times of the chunks. The response ends with the last one. */
  readonly chunks: readonly number[];
  readonly hasPaused?: boolean;
}

function measure(
  kind: RouteKind,
  { chunks, hasPaused = false, status = 200 }: Response,
  times = new routeTimes.RouteTimes(),
): responseMeasurement.ResponseSample | undefined {
  const time = new clock.ManualClock();
  const route = { name: 'route', kind };
  const measurement = new responseMeasurement.ResponseMeasurement({ route, times, clock: time });
  measurement.recordHead(status);
  if (hasPaused) measurement.recordPause();
  chunks.forEach((at) => {
    time.advance(at - time.now());
    measurement.recordChunk();
  });
  return measurement.finish();
}

describe('ResponseMeasurement', () => {
  // The first chunk depends on the prompt, a pause on the caller, an error on neither pace nor load.
  test.each([
    [{ chunks: [500, 520, 560] }, { value: 30, kind: 'stream' }],
    [{ chunks: [500, 520] }, undefined],
    [{ chunks: [500, 500, 500] }, undefined],
    [{ chunks: [500, 520, 560], hasPaused: true }, undefined],
    [{ chunks: [500, 520, 560], status: 503 }, undefined],
  ])('the stream %j gives %j', (response, expected) => {
    expect(measure('stream', response)).toEqual(expected);
  });

  test('a unary response is compared with the earlier ones of its route', () => {
    const times = new routeTimes.RouteTimes();
    expect(measure('once', { chunks: [40] }, times)).toBeUndefined();
    expect(measure('once', { chunks: [900], status: 500 }, times)).toBeUndefined();
    expect(measure('once', { chunks: [100] }, times)).toEqual({ value: 2.5, kind: 'unary' });
  });
});
