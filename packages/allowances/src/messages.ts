import type * as wire from '@limpettack/wire';
import * as zod from 'zod';

const REQUEST = zod.object({ workspace: zod.string(), count: zod.number().int().positive() });

const RESPONSE = zod.object({ granted: zod.number(), retryAfterMs: zod.number() });

/** What an owner hands out. */
export type AllowanceAnswer = zod.infer<typeof RESPONSE>;

/** Asks the owner of a workspace's limit for some requests in advance. */
export const TAKE_ALLOWANCE: wire.PeerMethod<zod.infer<typeof REQUEST>, AllowanceAnswer> = {
  name: 'allowance.take',
  request: REQUEST,
  response: RESPONSE,
};
