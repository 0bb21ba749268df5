import * as errors from '@limpettack/errors';
import type { EarlyRefusal } from './Types.js';
import * as predictions from './predictions.js';

/** Maximum number of waiting calls of one workspace in one pool. */
const QUEUE_LIMIT_PER_WORKSPACE = 512;

/** Minimum retry delay for refused callers. */
const MINIMUM_RETRY_MS = 100;

/** Refuses calls beyond the queue limit of their workspace, and no others. */
export const refuseBeyondQueueLimit: EarlyRefusal = (call, waiting, candidates) => {
  const own = waiting.filter((other) => other.workspace === call.workspace);
  if (own.length < QUEUE_LIMIT_PER_WORKSPACE) return undefined;
  const waitMs = predictions.queueWaitMs(call, waiting, candidates);
  // The next place is free as soon as any call of the workspace leaves the queue.
  const nextPlaceMs = waitMs / QUEUE_LIMIT_PER_WORKSPACE;
  return errors.createFault('overloaded', undefined, {
    retryAfterMs: Math.max(MINIMUM_RETRY_MS, Math.ceil(nextPlaceMs)),
  });
};

/** Refuses calls that would miss their deadline or exceed the queue limit of their workspace. */
export const refuseEarly: EarlyRefusal = (call, waiting, candidates, now) => {
  const overload = refuseBeyondQueueLimit(call, waiting, candidates, now);
  if (overload || candidates.length === 0) return overload;
  const waitMs = predictions.queueWaitMs(call, waiting, candidates);
  // Without a wait, only the call's estimated service time would be a reason to refuse it, and the
  // estimate is too uncertain for that.
  if (waitMs === 0) return undefined;
  const serviceMs = Math.min(
    ...candidates.map((candidate) => predictions.serviceMs(call, candidate)),
  );
  const lateMs = now + waitMs + serviceMs - call.deadline;
  if (lateMs <= 0) return undefined;
  return errors.createFault('deadline-unreachable', undefined, {
    retryAfterMs: Math.max(MINIMUM_RETRY_MS, Math.ceil(Math.min(lateMs, waitMs))),
  });
};
