import * as clock from '@limpettack/clock';
import * as testKit from '@limpettack/test-kit';

import type * as runRecorder from './RunRecorder.js';

/** Minimum delay between two attempts, and minimum timeout of an attempt. */
const MINIMUM_WAIT_MS = 100;
const MAXIMUM_ATTEMPT_MS = 15_000;
const NO_RESPONSE_STATUS = 0;

/** Statuses after which a caller retries a request. */
const RETRYABLE_STATUSES = new Set([NO_RESPONSE_STATUS, 408, 429, 502, 503, 504]);

/** A request that a caller sends, possibly several times. */
export interface CallerRequest {
  readonly send: (vm: testKit.CallerEndpoint) => Promise<testKit.CallerResponse>;
  readonly idempotencyKey?: string;
  /** Whether the caller stops at a status of 429 instead of waiting for a retry. */
  readonly stopsWhenRateLimited?: boolean;
}

/** Sends the requests of a workspace and retries them like its clients. */
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

  /** Timeout of one attempt, in milliseconds; limited by the remaining time of the run. */
  public get attemptTimeoutMs(): clock.Milliseconds {
    return Math.max(MINIMUM_WAIT_MS, Math.min(MAXIMUM_ATTEMPT_MS, this.endsAt - this.time.now()));
  }

  /** Sends a request until it gets a response that is not retryable or the run is over. */
  public async sendWithRetries(request: CallerRequest): Promise<testKit.CallerResponse> {
    for (;;) {
      const response = await this.sendOnce(request);
      const isOverRate = response.status === 429 && request.stopsWhenRateLimited === true;
      const isRunOver = this.time.now() >= this.endsAt;
      if (!RETRYABLE_STATUSES.has(response.status) || isOverRate || isRunOver) return response;
      await this.time.sleep(Math.max(MINIMUM_WAIT_MS, parseRefusal(response)?.retryAfterMs ?? 0));
    }
  }

  /** Sends a request once, to the next VM, and records it. */
  public async sendOnce(request: CallerRequest): Promise<testKit.CallerResponse> {
    const sentAtMs = this.time.now() - this.startedAt;
    const response = await request.send(this.pickVm());
    const refusal = parseRefusal(response);
    const { idempotencyKey } = request;
    this.recorder.addCall({
      workspace: this.workspace,
      sentAtMs,
      status: response.status,
      ...(refusal && {
        refusal: refusal.kind,
        run: refusal.run,
        retryAfterMs: refusal.retryAfterMs,
      }),
      ...(idempotencyKey === undefined ? {} : { idempotencyKey }),
    });
    if (refusal && RETRYABLE_STATUSES.has(response.status) && !(refusal.retryAfterMs > 0)) {
      const detail = `${refusal.kind} without a retry delay`;
      this.recorder.addBreach({ promise: 'true-refusal', detail });
    }
    return response;
  }
}

/** Parses the refusal in a response; undefined when the response is not a refusal. */
export function parseRefusal(response: testKit.CallerResponse): testKit.Refusal | undefined {
  if (response.status < 400) return undefined;
  try {
    return testKit.refusalOf(response);
  } catch {
    return undefined;
  }
}
