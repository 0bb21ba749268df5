import * as zod from 'zod';

const NAME_PATTERN = /^[a-z0-9][a-z0-9-]{0,62}$/;
const HEXADECIMAL_DIGEST_PATTERN = /^[0-9a-f]{64}$/;

/** The name of a table row. */
export const NAME = zod.string().regex(NAME_PATTERN, 'use a-z, 0-9 and -, at most 63 characters');

/** The kinds of call that a route or pool accepts. */
export const CALL_KINDS = { MODEL: 'model', SERVICE: 'service' } as const;

const CALL_KIND = zod.enum([CALL_KINDS.MODEL, CALL_KINDS.SERVICE]);

/** One target of a pool. */
export const TARGET = zod.strictObject({
  name: NAME,
  url: zod.url({ protocol: /^https?$/ }),
  failureDomain: NAME,
  /** Number of calls that the target runs at once. */
  slots: zod.int().min(1).max(4_096).default(16),
  /** Whether the target refuses orders and calls with an outdated fencing number. */
  checksFencing: zod.boolean().default(false),
});

/** Time limits of calls to a pool, in milliseconds. */
export const TIME_LIMITS = zod.strictObject({
  connectMs: zod.int().min(1).default(1_000),
  firstTokenMs: zod.int().min(1).default(15_000),
  betweenTokensMs: zod.int().min(1).default(5_000),
  totalMs: zod.int().min(1).default(120_000),
});

/** A row of the table of pools. */
export const POOL = zod.strictObject({
  name: NAME,
  kind: CALL_KIND,
  /** The model that the targets serve; for model pools. */
  model: zod.string().min(1).max(200).optional(),
  adapter: zod.string().min(1).max(200).optional(),
  version: zod.string().min(1).max(200).optional(),
  targets: zod.array(TARGET).max(4_096),
  /** Path that returns whether a call ran, by idempotency key; `{key}` is replaced by the key. */
  outcomeQuery: zod.string().startsWith('/').optional(),
  /** Name of a credential in the settings, which is sent to the targets. */
  credential: NAME.optional(),
  timeLimits: TIME_LIMITS.prefault({}),
});

/** Limits on what a program may consume. */
export const BUDGET = zod.strictObject({
  /** Generated tokens. */
  tokens: zod.int().min(0),
  calls: zod.int().min(0),
  wallTimeMs: zod.int().min(1),
});

/** A row of the table of routes. */
export const ROUTE = zod.strictObject({
  name: NAME,
  kind: CALL_KIND,
  /** Name of the pool that serves the route. */
  pool: NAME,
  /** Open to callers without a key. */
  open: zod.boolean().default(false),
  /** The workspaces that may use the route; all when omitted. */
  workspaces: zod.array(NAME).optional(),
  /** Whether a call may be retried after a failure. Model routes are always repeatable. */
  repeatable: zod.boolean().default(true),
  /** The maximum budget of a program on this route, which is also the default. */
  budget: BUDGET.prefault({ tokens: 1_000_000, calls: 1_000, wallTimeMs: 86_400_000 }),
  /** Maximum number of generated tokens of a call that sets none itself. */
  defaultMaximumTokens: zod.int().min(1).default(512),
  /** Maximum duration of a call including its wait, in milliseconds. */
  deadlineMs: zod.int().min(1).default(60_000),
  /** Note shown to operators for a call whose outcome is unknown. */
  note: zod.string().max(500).default(''),
});

/** A workspace with its limits. */
export const WORKSPACE = zod.strictObject({
  name: NAME,
  ratePerSecond: zod.number().positive(),
  burst: zod.number().min(1),
});

/** A workspace key that has been issued. */
export const GIVEN_KEY = zod.strictObject({
  /** SHA-256 of the key, in hexadecimal. */
  digest: zod.string().regex(HEXADECIMAL_DIGEST_PATTERN),
  workspace: NAME,
  label: zod.string().max(100).default(''),
});

/** Kinds of change. */
export const CHANGE_KINDS = {
  PUT_ROUTE: 'putRoute',
  REMOVE_ROUTE: 'removeRoute',
  PUT_POOL: 'putPool',
  REMOVE_POOL: 'removePool',
  PUT_WORKSPACE: 'putWorkspace',
  REMOVE_WORKSPACE: 'removeWorkspace',
  GIVE_KEY: 'giveKey',
  WITHDRAW_KEY: 'withdrawKey',
  REPLACE_TABLES: 'replaceTables',
} as const;

/** The tables as operators write them in a file. */
export const TABLES = zod.strictObject({
  routes: zod.array(ROUTE),
  pools: zod.array(POOL),
  workspaces: zod.array(WORKSPACE),
});

/** A change by an operator. */
export const CONFIGURATION_CHANGE = zod.discriminatedUnion('kind', [
  zod.strictObject({ kind: zod.literal(CHANGE_KINDS.PUT_ROUTE), route: ROUTE }),
  zod.strictObject({ kind: zod.literal(CHANGE_KINDS.REMOVE_ROUTE), name: NAME }),
  zod.strictObject({ kind: zod.literal(CHANGE_KINDS.PUT_POOL), pool: POOL }),
  zod.strictObject({ kind: zod.literal(CHANGE_KINDS.REMOVE_POOL), name: NAME }),
  zod.strictObject({ kind: zod.literal(CHANGE_KINDS.PUT_WORKSPACE), workspace: WORKSPACE }),
  zod.strictObject({ kind: zod.literal(CHANGE_KINDS.REMOVE_WORKSPACE), name: NAME }),
  zod.strictObject({ kind: zod.literal(CHANGE_KINDS.GIVE_KEY), key: GIVEN_KEY }),
  zod.strictObject({
    kind: zod.literal(CHANGE_KINDS.WITHDRAW_KEY),
    digest: GIVEN_KEY.shape.digest,
  }),
  zod.strictObject({ kind: zod.literal(CHANGE_KINDS.REPLACE_TABLES), tables: TABLES }),
]);

/** Kinds of record of the configuration stream. */
export const RECORD_KINDS = {
  EDIT: 'configurationEdit',
  SNAPSHOT: 'configurationSnapshot',
} as const;

/** An edit by an operator. */
export const CONFIGURATION_EDIT = zod.strictObject({
  kind: zod.literal(RECORD_KINDS.EDIT),
  /** Unique id; repeated records with the same id take effect once. */
  id: zod.string().min(1).max(64),
  /** The version that the change is based on. */
  basedOn: zod.int().min(0),
  author: zod.string().max(100),
  change: CONFIGURATION_CHANGE,
});

/** The complete configuration before an offset. */
export const CONFIGURATION_SNAPSHOT = zod.strictObject({
  kind: zod.literal(RECORD_KINDS.SNAPSHOT),
  version: zod.int().min(0),
  /** The snapshot includes all records of the stream below this offset. */
  asOf: zod.int().min(0),
  tables: TABLES,
  keys: zod.array(GIVEN_KEY),
  withdrawn: zod.array(GIVEN_KEY.shape.digest),
  /** Ids of the latest edits, so that repeats are still detected after the snapshot. */
  editIds: zod.array(zod.string()),
});

/** A record of the configuration stream. */
export const CONFIGURATION_RECORD = zod.discriminatedUnion('kind', [
  CONFIGURATION_EDIT,
  CONFIGURATION_SNAPSHOT,
]);
