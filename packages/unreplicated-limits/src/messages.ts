import type * as wire from '@limpettack/wire';
import * as zod from 'zod';

/** Maximum length of a program's name in a message. Longer names are not sent. */
export const MAXIMUM_PROGRAM_CHARACTERS = 256;

/** Maximum number of programs that a message reports as running. */
export const MAXIMUM_REPORTED_PROGRAMS = 32;

const PROGRAM = zod.string().max(MAXIMUM_PROGRAM_CHARACTERS);

const REQUEST = zod.object({
  workspace: zod.string(),
  /** Number of requests that are waiting. */
  needed: zod.number().int().positive(),
  /**
   * Number of requests that the sender expects soon. Tokens for them are granted only while the
   * bucket is well filled.
   */
  expected: zod.number().int().nonnegative(),
  /** Whether the waiting requests are the first of their programs. */
  isBegin: zod.boolean(),
  /** The program of the waiting requests, if they are the first of a single one. */
  program: PROGRAM.optional(),
  /** Programs that the sender has begun without a request to the owner. */
  running: zod.array(PROGRAM).max(MAXIMUM_REPORTED_PROGRAMS).optional(),
});

const RESPONSE = zod.object({
  granted: zod.number(),
  /** If nothing was granted: estimated time until a token may be available. */
  retryAfterMs: zod.number(),
});

/** A request for tokens. */
export type AllowanceRequest = zod.infer<typeof REQUEST>;

/** Tokens that an owner grants. */
export type AllowanceResponse = zod.infer<typeof RESPONSE>;

/**
 * Requests tokens from the owner of a workspace's limit. The owner may delay its response until the
 * bucket has been refilled.
 */
export const TAKE_ALLOWANCE: wire.PeerMethod<AllowanceRequest, AllowanceResponse> = {
  name: 'allowance.take',
  request: REQUEST,
  response: RESPONSE,
};

/**
 * Requests tokens from the deputy of a workspace's limit, because the owner does not respond. The
 * deputy grants a small share of the limit.
 */
export const TAKE_FROM_DEPUTY: wire.PeerMethod<AllowanceRequest, AllowanceResponse> = {
  name: 'allowance.take-from-deputy',
  request: REQUEST,
  response: RESPONSE,
};
