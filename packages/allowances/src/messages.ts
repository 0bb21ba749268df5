import type * as wire from '@limpettack/wire';
import * as zod from 'zod';

const REQUEST = zod.object({
  workspace: zod.string(),
  /** Requests that wait for it now. */
  needed: zod.number().int().positive(),
  /** Requests that are expected soon; handed out only while there is plenty. */
  expected: zod.number().int().nonnegative(),
  /** Whether the waiting requests are the first of their programs. */
  isBegin: zod.boolean(),
});

const RESPONSE = zod.object({
  granted: zod.number(),
  /** When nothing was granted: how long until there is a chance. */
  retryAfterMs: zod.number(),
});

/** What a process asks for. */
export type AllowanceRequest = zod.infer<typeof REQUEST>;

/** What an owner hands out. */
export type AllowanceAnswer = zod.infer<typeof RESPONSE>;

/** Asks the owner of a workspace's limit for requests. The answer may wait for the refill. */
export const TAKE_ALLOWANCE: wire.PeerMethod<AllowanceRequest, AllowanceAnswer> = {
  name: 'allowance.take',
  request: REQUEST,
  response: RESPONSE,
};
