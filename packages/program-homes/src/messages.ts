import type * as wire from '@limpettack/wire';
import * as zod from 'zod';

const RESERVATION = zod.object({
  program: zod.string(),
  call: zod.string(),
  budgetTokens: zod.number(),
  mostTokens: zod.number(),
  previousTurn: zod.string().optional(),
});

const ASKED_RESERVATION = RESERVATION.extend({
  /** Whether the home serves although it takes another one for the owner. */
  isInsisting: zod.boolean(),
});

const GRANT = zod.object({ isCovered: zod.boolean(), writer: zod.string().optional() });

const COVERAGE = zod.object({ isCovered: zod.boolean() });

const SETTLEMENT = zod.object({
  program: zod.string(),
  call: zod.string(),
  tokens: zod.number(),
  isKept: zod.boolean(),
});

const RELEASE = zod.object({ partition: zod.number() });

/** Whether the log counts no more for a turn than what it used. */
const SETTLED = zod.object({ isRecorded: zod.boolean() });

const NOTHING = zod.object({});

/** Sets tokens of a program's budget aside. */
export const RESERVE: wire.PeerMethod<
  zod.infer<typeof ASKED_RESERVATION>,
  zod.infer<typeof GRANT>
> = {
  name: 'home.reserve',
  request: ASKED_RESERVATION,
  response: GRANT,
};

/** Waits until the log holds enough for a reserved turn. */
export const COVER: wire.PeerMethod<zod.infer<typeof RESERVATION>, zod.infer<typeof COVERAGE>> = {
  name: 'home.cover',
  request: RESERVATION,
  response: COVERAGE,
};

/** Reports how a turn ended. */
export const SETTLE: wire.PeerMethod<zod.infer<typeof SETTLEMENT>, zod.infer<typeof SETTLED>> = {
  name: 'home.settle',
  request: SETTLEMENT,
  response: SETTLED,
};

/** Asks the former owner of a partition to write what it has not used and to let go. */
export const RELEASE_PARTITION: wire.PeerMethod<
  zod.infer<typeof RELEASE>,
  zod.infer<typeof NOTHING>
> = { name: 'home.release', request: RELEASE, response: NOTHING };
