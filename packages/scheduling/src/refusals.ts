import * as errors from '@limpettack/errors';
import type { EarlyRefusal } from './Types.js';
import * as predictions from './predictions.js';

/** Waiting calls of one workspace in one pool. */
const QUEUE_BOUND_PER_WORKSPACE = 512;

/** The shortest time that a refused caller is told to stay away. */
const MINIMUM_RETRY_MS = 100;

/** Refuses only what is past its workspace's queue bound. */
export const refusePastBound: EarlyRefusal = (call, waiting, candidates) => {
  const own = waiting.filter((other) => other.workspace === call.workspace);
  if (own.length < QUEUE_BOUND_PER_WORKSPACE) return undefined;
  const waitMs = predictions.queueWaitMs(call, waiting, candidates);
  // Room comes with each call of the workspace that leaves the queue, not with the last one.
  const untilRoomMs = waitMs / QUEUE_BOUND_PER_WORKSPACE;
  return errors.createFault('overloaded', undefined, {
    retryAfterMs: Math.max(MINIMUM_RETRY_MS, Math.ceil(untilRoomMs)),
  });
};

/** Refuses what would miss its deadline, and what is past its workspace's queue bound. */
export const refuseEarly: EarlyRefusal = (call, waiting, candidates, now) => {
  const bound = refusePastBound(call, waiting, candidates, now);
  if (bound || candidates.length === 0) return bound;
  const waitMs = predictions.queueWaitMs(call, waiting, candidates);
  // The time of the call itself is a guess, which alone is no reason to refuse it.
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
