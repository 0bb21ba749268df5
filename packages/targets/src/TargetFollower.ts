import type * as clock from '@limpettack/clock';
import * as configuration from '@limpettack/configuration';
import type * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import * as trueMyth from 'true-myth';
import * as zod from 'zod';
import type { TargetReader, TargetResult } from './Types.js';
import * as targetFailures from './TargetFailures.js';
import type * as targetTrackers from './TargetTracker.js';

/** Time between two looks at a target's status, before jitter. */
const STATUS_INTERVAL_MS = 900;

/** The shortest time between two looks, however many calls fail. */
const LEAST_INTERVAL_MS = 100;

/** Time between two looks at a target's cache events, before jitter. */
const CACHE_INTERVAL_MS = 1_000;

/** A span is shortened or lengthened by up to this share. */
const JITTER = 0.2;

/** Time for an answer about status; a target that takes longer gets no work. */
const STATUS_LIMIT_MS = 1_000;

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

/** What a follower needs. */
export interface TargetFollowerOptions {
  readonly tracker: targetTrackers.TargetTracker;
  readonly kind: configuration.Pool['kind'];
  readonly reader: TargetReader;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  readonly random: () => number;
  /** Called when the target may have room. */
  readonly onRoom: () => void;
  /** Called when the target did not answer. */
  readonly onUnreachable: () => void;
}

/** Keeps what is known of one target up to date until disposed of. */
export class TargetFollower implements lifetime.Disposable {
  private readonly stop = new AbortController();

  private wake = new AbortController();

  public constructor(private readonly options: TargetFollowerOptions) {
    this.run(this.followStatus());
    if (options.kind === configuration.CALL_KINDS.MODEL) this.run(this.followCache());
  }

  /** Looks at the status without waiting for the next time. */
  public checkNow(): void {
    this.wake.abort();
  }

  /** @inheritdoc */
  public dispose(): void {
    this.stop.abort();
    this.wake.abort();
  }

  private run(task: Promise<void>): void {
    task.catch((error: unknown) => {
      this.options.logger.error('A target is not followed any more.', {
        target: this.options.tracker.target.name,
        reason: String(error),
      });
    });
  }

  private async followStatus(): Promise<void> {
    const { clock: time, tracker } = this.options;
    while (!this.stop.signal.aborted) {
      // Made before the look, so that a call that fails meanwhile causes another one.
      this.wake = new AbortController();
      await this.readStatus();
      if (this.stop.signal.aborted) return;
      await time.sleep(LEAST_INTERVAL_MS, this.stop.signal);
      const spanMs = Math.max(tracker.health.remainingMs, this.jittered(STATUS_INTERVAL_MS));
      await time.sleep(spanMs - LEAST_INTERVAL_MS, this.wake.signal);
    }
  }

  private async readStatus(): Promise<void> {
    const { clock: time, onRoom, tracker } = this.options;
    const askedAt = time.now();
    const report = await this.askStatus();
    if (this.stop.signal.aborted) return;
    if (report.isErr) {
      tracker.health.noteUnreachable();
      // It may come back as a new process that counts its events anew and holds nothing.
      tracker.cache.forget();
      this.options.onUnreachable();
      return;
    }
    tracker.learnStatus(report.value, askedAt);
    onRoom();
  }

  private async askStatus(): Promise<TargetResult<targetTrackers.StatusReport>> {
    const { reader, tracker } = this.options;
    const { name } = tracker.target;
    if (this.options.kind === configuration.CALL_KINDS.MODEL) {
      const load = await reader.read(name, '/v1/load', LOAD, STATUS_LIMIT_MS);
      return load.map((report) => ({ status: report.status, load: report }));
    }
    const answer = await reader.read(name, '/limpettack/status', STATUS, STATUS_LIMIT_MS);
    // A service that does not know the path is up and cannot say that it leaves.
    if (isUnknownPath(answer)) return trueMyth.Result.ok({ status: READY_STATUS });
    return answer;
  }

  private async followCache(): Promise<void> {
    while (!this.stop.signal.aborted) {
      await this.readCache();
      await this.options.clock.sleep(this.jittered(CACHE_INTERVAL_MS), this.stop.signal);
    }
  }

  private async readCache(): Promise<void> {
    const { reader, tracker } = this.options;
    const { name } = tracker.target;
    // A target that gets no work needs no hints.
    if (!tracker.mayTakeWork) return;
    const path = `/v1/cache/events?after=${tracker.cache.after}`;
    const answer = await reader.read(name, path, CACHE_EVENTS);
    if (answer.isErr) return;
    const hasGap = tracker.cache.learn(answer.value.events, answer.value.nextSequence);
    if (!hasGap) return;
    const sessions = await reader.read(name, '/v1/sessions', SESSIONS);
    if (sessions.isOk) tracker.cache.replace(sessions.value.sessions);
    else tracker.cache.forget();
  }

  private jittered(spanMs: clock.Milliseconds): clock.Milliseconds {
    return spanMs * (1 - JITTER + 2 * JITTER * this.options.random());
  }
}

function isUnknownPath(answer: TargetResult<unknown>): boolean {
  if (answer.isOk) return false;
  const isRefused = answer.error.kind === targetFailures.TARGET_FAILURES.REFUSED;
  return isRefused && answer.error.status === NOT_FOUND_STATUS;
}
