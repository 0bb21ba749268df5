import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as trueMyth from 'true-myth';

import * as platformFailures from './PlatformFailures.js';
import * as streamFollower from './StreamFollower.js';
import type { LogClient, LogPage, PlatformFailure, PlatformResult } from './Types.js';

const { describe, expect, test } = jestGlobals;

const { PLATFORM_FAILURES } = platformFailures;

/** Creates a log that responds to reads from a script; further reads never complete. */
function scriptedLog(script: readonly (LogPage | PlatformFailure)[]): {
  readonly log: LogClient;
  readonly reads: { readonly from: number; readonly waitMs: number }[];
} {
  const reads: { from: number; waitMs: number }[] = [];
  const log = {
    append: () => Promise.reject(new Error('not used')),
    retention: () => Promise.reject(new Error('not used')),
    read: (
      _stream: string,
      from: number,
      options: { waitMs: number },
    ): Promise<PlatformResult<LogPage>> => {
      const step = script[reads.length];
      reads.push({ from, waitMs: options.waitMs });
      if (step === undefined) return new Promise(() => {});
      return Promise.resolve('kind' in step ? trueMyth.Result.err(step) : trueMyth.Result.ok(step));
    },
  };
  return { log, reads };
}

function page(from: number, to: number, tailOffset: number): LogPage {
  const records = Array.from({ length: to - from }, (_, index) => ({
    offset: from + index,
    ageMs: 0,
    payload: `record ${from + index}`,
  }));
  return { records, firstOffset: 0, tailOffset };
}

async function runPendingWork(): Promise<void> {
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
}

function follow(script: readonly (LogPage | PlatformFailure)[]): {
  readonly time: clock.ManualClock;
  readonly follower: streamFollower.StreamFollower;
  readonly seen: string[];
  readonly reads: { readonly from: number; readonly waitMs: number }[];
} {
  const time = new clock.ManualClock();
  const { log, reads } = scriptedLog(script);
  const seen: string[] = [];
  const handler = {
    onRecord: async (record: { offset: number }): Promise<void> => {
      await Promise.resolve();
      seen.push(`record ${record.offset}`);
    },
    onGap: (gap: { from: number; to: number }): void => {
      seen.push(`gap ${gap.from}-${gap.to}`);
    },
  };
  const options = { stream: 's', from: 0, minimumBackoffMs: 100, waitMs: 5_000 };
  const follower = new streamFollower.StreamFollower(log, time, () => 0, handler, options);
  follower.start();
  return { time, follower, seen, reads };
}

describe('StreamFollower', () => {
  test('passes records on once, in order, and waits only at the tail', async () => {
    const { follower, seen, reads } = follow([page(0, 2, 3), page(1, 3, 3)]);
    await runPendingWork();
    expect(seen).toEqual(['record 0', 'record 1', 'record 2']);
    expect(follower.isCaughtUp).toBe(true);
    expect(reads).toEqual([
      { from: 0, waitMs: 0 },
      { from: 2, waitMs: 0 },
      { from: 3, waitMs: 5_000 },
    ]);
    await follower.dispose();
  });

  test('reports expired records as a gap before it continues', async () => {
    const expired = { kind: PLATFORM_FAILURES.EXPIRED, message: '', firstOffset: 7 };
    const { follower, seen } = follow([expired, page(7, 8, 9), page(9, 10, 10)]);
    await runPendingWork();
    expect(seen).toEqual(['gap 0-7', 'record 7', 'gap 8-9', 'record 9']);
    await follower.dispose();
  });

  test('backs off while the log is down and reports when it is available again', async () => {
    const down = { kind: PLATFORM_FAILURES.UNAVAILABLE, message: '' };
    const limited = { kind: PLATFORM_FAILURES.RATE_LIMITED, message: '', retryAfterMs: 1_000 };
    const { time, follower, seen, reads } = follow([down, down, limited, page(0, 1, 1)]);
    const availability: boolean[] = [];
    follower.onAvailabilityChange((available) => availability.push(available));
    // The random source returns 0, so a back-off is half of its ceiling.
    for (const [durationMs, count] of [
      [49, 1],
      [1, 2],
      [99, 2],
      [1, 3],
      [999, 3],
      [1, 5],
    ] as const) {
      await runPendingWork();
      time.advance(durationMs);
      await runPendingWork();
      expect(reads.length).toBe(count);
    }
    expect(seen).toEqual(['record 0']);
    expect(availability).toEqual([false, true]);
    expect(follower.tailConfirmedAt).toBe(1_150);
    await follower.dispose();
  });
});
