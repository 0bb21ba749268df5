import * as clock from '@limpettack/clock';
import * as testKit from '@limpettack/test-kit';

import type * as runRecorder from './RunRecorder.js';

const PAUSE_MS = 100;
const TRY_LIMIT_MS = 15_000;
const NO_ANSWER_STATUS = 0;

/** Statuses after which a caller sends the same request again. */
const PASSING_STATUSES = new Set([NO_ANSWER_STATUS, 408, 429, 502, 503, 504]);

/** One request of a caller. */
export interface CallerRequest {
  readonly send: (vm: testKit.CallerEndpoint) => Promise<testKit.CallerAnswer>;
  readonly idempotencyKey?: string;
  /** Whether the caller gives up when the rate is used up, in place of waiting. */
  readonly givesUpOverRate?: boolean;
}

/** Sends the requests of a workspace, again after a failure as its clients do. */
export class WorkspaceCaller {
  public constructor(
    public readonly caller: testKit.Caller,
    private readonly workspace: string,
    private readonly pickVm: () => testKit.CallerEndpoint,
    private readonly recorder: runRecorder.RunRecorder,
    private readonly time: clock.Clock,
    private readonly startedAt: clock.Milliseconds,
    private readonly endsAt: clock.Milliseconds,
  ) {}

  /** How long one try may take, in milliseconds. */
  public get tryLimitMs(): clock.Milliseconds {
    return Math.max(PAUSE_MS, Math.min(TRY_LIMIT_MS, this.endsAt - this.time.now()));
  }

  /** Sends a request until it is answered for good or the run is over. */
  public async untilAnswered(request: CallerRequest): Promise<testKit.CallerAnswer> {
    for (;;) {
      const answer = await this.sendOnce(request);
      const isOverRate = answer.status === 429 && request.givesUpOverRate === true;
      const isOver = this.time.now() >= this.endsAt;
      if (!PASSING_STATUSES.has(answer.status) || isOverRate || isOver) return answer;
      await this.time.sleep(Math.max(PAUSE_MS, refusalIn(answer)?.retryAfterMs ?? 0));
    }
  }

  /** Sends a request once, through any VM. */
  public async sendOnce(request: CallerRequest): Promise<testKit.CallerAnswer> {
    const sentAtMs = this.time.now() - this.startedAt;
    const answer = await request.send(this.pickVm());
    const refusal = refusalIn(answer);
    const { idempotencyKey } = request;
    this.recorder.addCall({
      workspace: this.workspace,
      sentAtMs,
      status: answer.status,
      ...(refusal && {
        refusal: refusal.kind,
        run: refusal.run,
        retryAfterMs: refusal.retryAfterMs,
      }),
      ...(idempotencyKey === undefined ? {} : { idempotencyKey }),
    });
    if (refusal && PASSING_STATUSES.has(answer.status) && !(refusal.retryAfterMs > 0)) {
      const detail = `${refusal.kind} without a time to come back`;
      this.recorder.addBreach({ promise: 'true-refusal', detail });
    }
    return answer;
  }
}

/** The refusal in an answer, when it is one. */
export function refusalIn(answer: testKit.CallerAnswer): testKit.Refusal | undefined {
  if (answer.status < 400) return undefined;
  try {
    return testKit.refusalOf(answer);
  } catch {
    return undefined;
  }
}
