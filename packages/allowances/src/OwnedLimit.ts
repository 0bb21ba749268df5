import type * as clock from '@limpettack/clock';
import * as limits from '@limpettack/limits';
import type * as messages from './messages.js';
import * as programCapacity from './programCapacity.js';
import * as shares from './shares.js';
import type { WorkspaceLimit } from './Types.js';

/** What a process said of its programs counts for so long. */
const REPORT_MS = 1_500;

/** The span over which the rate of requests is measured. */
const RATE_SPAN_MS = 1_000;

/** Weight of the latest span in the smoothed requests of a program. */
const SMOOTHING = 0.3;

/** The fewest programs under way that tell what a program needs. */
const TELLING_PROGRAMS = 3;

/** When a program that may not begin is to come back: others have ended by then. */
const BEGIN_AGAIN_MS = 500;

const MILLISECONDS_PER_SECOND = 1_000;

interface Report {
  readonly activePrograms: number;
  readonly at: clock.Milliseconds;
}

/** The limit of one workspace, at its owner. */
export class OwnedLimit {
  private readonly bucket: limits.TokenBucket;

  private readonly reports = new Map<string, Report>();

  private programRate = programCapacity.DEFAULT_PROGRAM_RATE;

  private grantedInSpan = 0;

  private spanSince: clock.Milliseconds;

  public constructor(
    private limit: WorkspaceLimit,
    now: clock.Milliseconds,
  ) {
    const shared = shares.ownerLimit(limit);
    this.bucket = new limits.TokenBucket(shares.startTokens(shared), now, shared);
    this.spanSince = now;
  }

  /** Hands out requests and begins of programs. */
  public take(
    request: messages.AllowanceRequest,
    from: string,
    limit: WorkspaceLimit,
    now: clock.Milliseconds,
  ): messages.AllowanceAnswer {
    this.settle(limit, now);
    const begins = this.takeBegins(request, from, now);
    const granted = Math.max(0, Math.min(request.count, Math.floor(this.bucket.level)));
    this.bucket.take(granted);
    this.grantedInSpan += granted;
    if (granted > 0) return { granted, begins, retryAfterMs: BEGIN_AGAIN_MS };
    return { granted, begins, retryAfterMs: this.bucket.timeFor(1 - this.bucket.level) };
  }

  private settle(limit: WorkspaceLimit, now: clock.Milliseconds): void {
    this.bucket.settle(now, 0);
    if (limit.burst !== this.limit.burst || limit.ratePerSecond !== this.limit.ratePerSecond) {
      this.bucket.setLimit(shares.ownerLimit(limit));
      this.bucket.settle(now, 0);
      this.limit = limit;
    }
    if (now - this.spanSince > RATE_SPAN_MS) this.endSpan(now);
  }

  private takeBegins(
    request: messages.AllowanceRequest,
    from: string,
    now: clock.Milliseconds,
  ): number {
    const { activePrograms } = request;
    this.reports.set(from, { activePrograms, at: now });
    const capacity = programCapacity.programCapacity({
      limit: shares.ownerLimit(this.limit),
      level: this.bucket.level,
      activePrograms: this.countPrograms(now),
      programRate: this.programRate,
    });
    const begins = Math.max(0, Math.min(request.begins, capacity));
    this.reports.set(from, { activePrograms: activePrograms + begins, at: now });
    return begins;
  }

  private endSpan(now: clock.Milliseconds): void {
    const seconds = (now - this.spanSince) / MILLISECONDS_PER_SECOND;
    const programs = this.countPrograms(now);
    if (programs >= TELLING_PROGRAMS) {
      const latest = this.grantedInSpan / seconds / programs;
      this.programRate += SMOOTHING * (latest - this.programRate);
    }
    this.grantedInSpan = 0;
    this.spanSince = now;
  }

  private countPrograms(now: clock.Milliseconds): number {
    return [...this.reports.values()]
      .filter(({ at }) => now - at < REPORT_MS)
      .reduce((sum, { activePrograms }) => sum + activePrograms, 0);
  }
}
