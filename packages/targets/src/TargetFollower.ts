import type * as clock from '@limpettack/clock';
import * as configuration from '@limpettack/configuration';
import type * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import * as trueMyth from 'true-myth';
import * as zod from 'zod';
import type { TargetReader, TargetResult } from './Types.js';
import * as targetFailures from './TargetFailures.js';
import type * as targetTrackers from './TargetTracker.js';

/** Time between polls of a target's status, before jitter. */
const STATUS_INTERVAL_MS = 900;

/** Minimum time between polls of the status, however many calls fail. */
const MINIMUM_INTERVAL_MS = 100;

/** Time between polls of a target's cache events, before jitter. */
const CACHE_INTERVAL_MS = 1_000;

/** Intervals are shortened or lengthened by up to this share. */
const JITTER = 0.2;

/** Time limit of a status request. A target that exceeds it gets no work. */
const STATUS_TIMEOUT_MS = 1_000;

const NOT_FOUND_STATUS = 404;

const READY_STATUS = 'ready';

const COUNT = zod.number().min(0);

const LOAD = zod.object({
  running: COUNT,
  waiting: COUNT,
  status: zod.string(),
  ageMs: COUNT,
});

const STATUS = zod.object({ status: zod.string() });

const CACHE_EVENTS = zod.object({
  events: zod.array(
    zod.object({
      sequence: COUNT,
      kind: zod.enum(['stored', 'evicted']),
      program: zod.string(),
      tokens: COUNT,
    }),
  ),
  nextSequence: COUNT,
});

const SESSIONS = zod.object({
  sessions: zod.array(zod.object({ program: zod.string(), tokens: COUNT })),
});

/** Dependencies of a follower. */
export interface TargetFollowerOptions {
  readonly tracker: targetTrackers.TargetTracker;
  readonly kind: configuration.Pool['kind'];
  readonly reader: TargetReader;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  readonly random: () => number;
  /** Called when the target may have free capacity. */
  readonly onRoom: () => void;
  /** Called when the target did not respond to a status request. */
  readonly onUnreachable: () => void;
}

/** Polls the status and cache events of one target until disposed of. */
export class TargetFollower implements lifetime.Disposable {
  private readonly stop = new AbortController();

  private wake = new AbortController();

  public constructor(private readonly options: TargetFollowerOptions) {
    this.run(this.pollStatus());
    if (options.kind === configuration.CALL_KINDS.MODEL) this.run(this.pollCacheEvents());
  }

  /** Polls the status without waiting for the next interval. */
  public pollNow(): void {
    this.wake.abort();
  }

  /** @inheritdoc */
  public dispose(): void {
    this.stop.abort();
    this.wake.abort();
  }

  private run(task: Promise<void>): void {
    task.catch((error: unknown) => {
      this.options.logger.error('The follower of a target has failed and stopped.', {
        target: this.options.tracker.target.name,
        reason: String(error),
      });
    });
  }

  private async pollStatus(): Promise<void> {
    const { clock: time, tracker } = this.options;
    while (!this.stop.signal.aborted) {
      // Created before the request, so that a call that fails meanwhile triggers another poll.
      this.wake = new AbortController();
      await this.readStatus();
      if (this.stop.signal.aborted) return;
      await time.sleep(MINIMUM_INTERVAL_MS, this.stop.signal);
      const intervalMs = Math.max(tracker.health.remainingMs, this.jittered(STATUS_INTERVAL_MS));
      await time.sleep(intervalMs - MINIMUM_INTERVAL_MS, this.wake.signal);
    }
  }

  private async readStatus(): Promise<void> {
    const { clock: time, onRoom, tracker } = this.options;
    const requestedAt = time.now();
    const report = await this.requestStatus();
    if (this.stop.signal.aborted) return;
    if (report.isErr) {
      tracker.health.noteUnreachable();
      // The target may restart with an empty cache and a new event sequence.
      tracker.cache.clear();
      this.options.onUnreachable();
      return;
    }
    tracker.recordStatus(report.value, requestedAt);
    onRoom();
  }

  private async requestStatus(): Promise<TargetResult<targetTrackers.StatusReport>> {
    const { reader, tracker } = this.options;
    const { name } = tracker.target;
    if (this.options.kind === configuration.CALL_KINDS.MODEL) {
      const load = await reader.read(name, '/v1/load', LOAD, STATUS_TIMEOUT_MS);
      return load.map((report) => ({ status: report.status, load: report }));
    }
    const response = await reader.read(name, '/limpettack/status', STATUS, STATUS_TIMEOUT_MS);
    // A service without this path is up, but cannot announce that it is leaving.
    if (isUnknownPath(response)) return trueMyth.Result.ok({ status: READY_STATUS });
    return response;
  }

  private async pollCacheEvents(): Promise<void> {
    while (!this.stop.signal.aborted) {
      await this.readCacheEvents();
      await this.options.clock.sleep(this.jittered(CACHE_INTERVAL_MS), this.stop.signal);
    }
  }

  private async readCacheEvents(): Promise<void> {
    const { reader, tracker } = this.options;
    const { name } = tracker.target;
    // Cache hints are not needed for a target that gets no work.
    if (!tracker.mayTakeWork) return;
    const path = `/v1/cache/events?after=${tracker.cache.after}`;
    const response = await reader.read(name, path, CACHE_EVENTS);
    if (response.isErr) return;
    const hasGap = tracker.cache.applyEvents(response.value.events, response.value.nextSequence);
    if (!hasGap) return;
    const sessions = await reader.read(name, '/v1/sessions', SESSIONS);
    if (sessions.isOk) tracker.cache.replace(sessions.value.sessions);
    else tracker.cache.clear();
  }

  private jittered(intervalMs: clock.Milliseconds): clock.Milliseconds {
    return intervalMs * (1 - JITTER + 2 * JITTER * this.options.random());
  }
}

function isUnknownPath(response: TargetResult<unknown>): boolean {
  if (response.isOk) return false;
  const isRefused = response.error.kind === targetFailures.TARGET_FAILURES.REFUSED;
  return isRefused && response.error.status === NOT_FOUND_STATUS;
}
