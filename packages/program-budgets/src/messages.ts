import type * as wire from '@limpettack/wire';
import * as zod from 'zod';

const RESERVATION = zod.object({
  program: zod.string(),
  call: zod.string(),
  budgetTokens: zod.number(),
  mostTokens: zod.number(),
  previousTurn: zod.string().optional(),
  /** VMs of earlier releases omit it. Their turns are treated as retained. */
  isRetained: zod.boolean().optional(),
});

const RESERVE_REQUEST = RESERVATION.extend({
  /** Whether the home must serve the request even if it considers another member the owner. */
  isInsisting: zod.boolean(),
});

const RESERVE_RESPONSE = zod.object({
  isCovered: zod.boolean(),
  writer: zod.string().optional(),
  uncoveredTokens: zod.number().nonnegative().optional(),
});

const COVER_RESPONSE = zod.object({ isCovered: zod.boolean() });

const SETTLEMENT = zod.object({
  program: zod.string(),
  call: zod.string(),
  tokens: zod.number(),
  isKept: zod.boolean(),
});

const RELEASE_REQUEST = zod.object({ partition: zod.number() });

/** Whether the log charges the program for no more than the tokens that the turn used. */
const SETTLE_RESPONSE = zod.object({ isRecorded: zod.boolean() });

const EMPTY_RESPONSE = zod.object({});

/** Reserves tokens of a program's budget. */
export const RESERVE: wire.PeerMethod<
  zod.infer<typeof RESERVE_REQUEST>,
  zod.infer<typeof RESERVE_RESPONSE>
> = {
  name: 'home.reserve',
  request: RESERVE_REQUEST,
  response: RESERVE_RESPONSE,
};

/** Waits until the watermark in the log covers a reserved turn. */
export const COVER: wire.PeerMethod<
  zod.infer<typeof RESERVATION>,
  zod.infer<typeof COVER_RESPONSE>
> = {
  name: 'home.cover',
  request: RESERVATION,
  response: COVER_RESPONSE,
};

/** Reports the final token usage of a turn. */
export const SETTLE: wire.PeerMethod<
  zod.infer<typeof SETTLEMENT>,
  zod.infer<typeof SETTLE_RESPONSE>
> = {
  name: 'home.settle',
  request: SETTLEMENT,
  response: SETTLE_RESPONSE,
};

/**
 * Asks a former owner of a partition to lower its watermarks to the used tokens and to release it.
 */
export const RELEASE_PARTITION: wire.PeerMethod<
  zod.infer<typeof RELEASE_REQUEST>,
  zod.infer<typeof EMPTY_RESPONSE>
> = { name: 'home.release', request: RELEASE_REQUEST, response: EMPTY_RESPONSE };
