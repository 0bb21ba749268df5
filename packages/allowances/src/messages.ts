import type * as wire from '@limpettack/wire';
import * as zod from 'zod';

const REQUEST = zod.object({
  workspace: zod.string(),
  /** Requests. */
  count: zod.number().int().nonnegative(),
  /** Programs that want to begin. */
  begins: zod.number().int().nonnegative(),
  /** Programs under way at the asking process. */
  activePrograms: zod.number().int().nonnegative(),
});

const RESPONSE = zod.object({
  granted: zod.number(),
  /** Programs that may begin. */
  begins: zod.number(),
  retryAfterMs: zod.number(),
});

/** What a process asks for in advance. */
export type AllowanceRequest = zod.infer<typeof REQUEST>;

/** What an owner hands out. */
export type AllowanceAnswer = zod.infer<typeof RESPONSE>;

/** Asks the owner of a workspace's limit for some requests in advance. */
export const TAKE_ALLOWANCE: wire.PeerMethod<AllowanceRequest, AllowanceAnswer> = {
  name: 'allowance.take',
  request: REQUEST,
  response: RESPONSE,
};
