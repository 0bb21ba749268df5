import * as trueMyth from 'true-myth';
import * as zod from 'zod';

import * as exchangeMessages from './exchangeMessages.js';
import * as platformFailures from './PlatformFailures.js';
import type { PlatformFailure, PlatformResult } from './Types.js';

const { PLATFORM_FAILURES } = platformFailures;

const STATUS_OK = 200;
const STATUS_GONE = 410;
const STATUS_TOO_MANY_REQUESTS = 429;
const STATUS_SERVER_ERROR = 500;
const STATUS_UNAVAILABLE = 503;

const DEFAULT_RETRY_AFTER_MS = 100;

const RATE_LIMITED_BODY = zod.object({ retryAfterMs: zod.number().min(0) });
const EXPIRED_BODY = zod.object({ firstOffset: zod.int().min(0) });

/**
 * Converts the outcome of an exchange to a result. After a server error other than 503 or a
 * response that cannot be parsed, the call may have taken effect, so both are treated as `lost`.
 */
export function interpretOutcome<Value>(
  outcome: exchangeMessages.ExchangeOutcome,
  schema: zod.ZodType<Value>,
): PlatformResult<Value> {
  if (outcome.end === exchangeMessages.EXCHANGE_ENDS.NOT_WRITTEN) {
    return fail({ kind: PLATFORM_FAILURES.UNAVAILABLE, message: outcome.message });
  }
  if (outcome.end === exchangeMessages.EXCHANGE_ENDS.BROKEN) {
    return fail({ kind: PLATFORM_FAILURES.LOST, message: outcome.message });
  }
  if (outcome.status !== STATUS_OK) return fail(failureFromStatus(outcome.status, outcome.body));
  const parsed = schema.safeParse(parseJson(outcome.body));
  if (parsed.success) return trueMyth.Result.ok(parsed.data);
  return fail({ kind: PLATFORM_FAILURES.LOST, message: 'the answer cannot be read' });
}

function failureFromStatus(status: number, body: string): PlatformFailure {
  const message = `the platform answered ${status}`;
  if (status === STATUS_UNAVAILABLE) return { kind: PLATFORM_FAILURES.UNAVAILABLE, message };
  if (status === STATUS_TOO_MANY_REQUESTS) {
    const parsed = RATE_LIMITED_BODY.safeParse(parseJson(body));
    const retryAfterMs = parsed.success ? parsed.data.retryAfterMs : DEFAULT_RETRY_AFTER_MS;
    return { kind: PLATFORM_FAILURES.RATE_LIMITED, message, retryAfterMs };
  }
  if (status === STATUS_GONE) {
    const parsed = EXPIRED_BODY.safeParse(parseJson(body));
    if (!parsed.success) return { kind: PLATFORM_FAILURES.INVALID, message };
    const { firstOffset } = parsed.data;
    return { kind: PLATFORM_FAILURES.EXPIRED, message, firstOffset };
  }
  if (status >= STATUS_SERVER_ERROR) return { kind: PLATFORM_FAILURES.LOST, message };
  return { kind: PLATFORM_FAILURES.INVALID, message };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function fail<Value>(failure: PlatformFailure): PlatformResult<Value> {
  return trueMyth.Result.err(failure);
}
