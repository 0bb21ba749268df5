import * as zod from 'zod';

const MILLISECONDS = zod.number().min(0);
const PROBABILITY = zod.number().min(0).max(1);
const PORT = zod.coerce.number().int().min(0).max(65_535);

/** Settings of the platform stand-in. */
export const PLATFORM_SETTINGS = zod.object({
  host: zod.string().default('127.0.0.1'),
  /** 0 takes a free port. */
  port: PORT.default(0),
  /** How long records are kept, in milliseconds. */
  retentionMs: zod.coerce.number().positive().default(86_400_000),
  /** Appends a second over all streams. */
  appendsPerSecond: zod.coerce.number().positive().default(400),
  /** How old the list of VMs is, in milliseconds. */
  vmListLagMs: zod.coerce.number().min(0).default(0),
  /** Time that a call takes, in milliseconds. */
  latencyMs: zod.coerce.number().min(0).default(0),
  /** Requests a second of the weight store. */
  weightsPerSecond: zod.coerce.number().positive().default(10),
  /** Bytes of each weight file. */
  weightBytes: zod.coerce.number().int().min(0).default(65_536),
});

/** Faults of the platform stand-in. */
export const PLATFORM_FAULTS = zod.strictObject({
  /** The log answers 503. */
  logOutage: zod.boolean(),
  /** Each call of the log waits this long before it takes effect. */
  logDelayMs: MILLISECONDS,
  /** So many of the next appends take effect and lose their answer. */
  loseAnswers: zod.int().min(0),
  loseAnswersProbability: PROBABILITY,
  seed: zod.int(),
  /** The list of VMs stays as it is. */
  vmListFrozen: zod.boolean(),
  /** In the place of the setting. */
  vmListLagMs: MILLISECONDS.nullable(),
  /** In the place of the setting. */
  retentionMs: zod.number().positive().nullable(),
});

/** A change of some faults of the platform. */
export const PLATFORM_FAULT_CHANGES = PLATFORM_FAULTS.partial();

/** A VM of the platform's list. */
export const VM_ENTRY = zod.strictObject({
  name: zod.string().min(1),
  address: zod.string().min(1),
  failureDomain: zod.string().min(1),
  leaving: zod.boolean().default(false),
});

/** The body that sets the list of VMs. */
export const VM_LIST_BODY = zod.strictObject({ vms: zod.array(VM_ENTRY) });

/** The body of an append. */
export const APPEND_BODY = zod.strictObject({ payloads: zod.array(zod.string()).min(1) });

/** Query of a read. */
export const READ_QUERY = zod.object({
  from: zod.coerce.number().int().min(0),
  limit: zod.coerce.number().int().min(1).max(10_000).default(500),
  waitMs: zod.coerce.number().min(0).max(60_000).default(0),
});

const TARGET_LISTENERS = {
  host: zod.string().default('127.0.0.1'),
  /** 0 takes a free port. */
  port: PORT.default(0),
  /** Port of a second listener that faults leave alone; 0 takes a free one. */
  adminPort: PORT.default(0),
  checksFencing: zod.boolean().default(false),
  /** Entries of calls that the journal keeps. */
  journalEntries: zod.coerce.number().int().min(1).default(200_000),
  /** Characters of each body that the journal keeps. */
  journalBodyCharacters: zod.coerce.number().int().min(0).default(1_048_576),
  seed: zod.coerce.number().int().default(1),
};

/** Settings of the engine stand-in. */
export const ENGINE_SETTINGS = zod.object({
  ...TARGET_LISTENERS,
  model: zod.string().default('stand-in'),
  /** Calls that run at once. */
  slots: zod.coerce.number().int().min(1).default(16),
  /** Time to prefill one token that is not cached, in milliseconds. */
  prefillMsPerToken: zod.coerce.number().min(0).default(0.05),
  /** Time to generate one token when the call runs alone, in milliseconds. */
  decodeMsPerToken: zod.coerce.number().min(0).default(2),
  /** A full batch decodes this many times slower than a single call, plus one. */
  batchSlowdown: zod.coerce.number().min(0).default(0.5),
  /** Tokens generated when neither the call nor its last message says how many. */
  defaultTokens: zod.coerce.number().int().min(1).default(16),
  /** Tokens that the prefix cache holds. */
  cacheTokens: zod.coerce.number().int().min(0).default(200_000),
  cacheEventDelayMs: zod.coerce.number().min(0).default(200),
  /** Share of cache events that are never published. */
  cacheEventLoss: zod.coerce.number().min(0).max(1).default(0),
  loadLagMs: zod.coerce.number().min(0).default(200),
  /** How long a call without a connection goes on, and an ended one is kept. */
  resumeWindowMs: zod.coerce.number().min(0).default(30_000),
  /** Time to move one token of a KV cache, in milliseconds. */
  transferMsPerToken: zod.coerce.number().min(0).default(0.005),
  /** Time that an order to load takes, in milliseconds. */
  loadingMs: zod.coerce.number().min(0).default(0),
});

/** Settings of the plain service stand-in. */
export const SERVICE_SETTINGS = zod.object({
  ...TARGET_LISTENERS,
  /** Time that an execution takes, in milliseconds. */
  serviceTimeMs: zod.coerce.number().min(0).default(5),
});

/** Faults of a target stand-in. */
export const TARGET_FAULTS = zod.strictObject({
  /** The target crashes when a call's body has this text. */
  crashOnText: zod.string().min(1).nullable(),
  /** Streams send nothing more and stay open. */
  stallStreams: zod.boolean(),
  /** Connections are refused, and open ones destroyed. */
  refuse: zod.boolean(),
  /** Each call waits this long before it starts. */
  delayMs: MILLISECONDS,
  /** Calls are answered with this status and do not run. */
  status: zod.int().min(400).max(599).nullable(),
  /** Calls are taken and never answered, and do not run. */
  hang: zod.boolean(),
  /** The connection of a stream is destroyed after so many chunks. */
  dropAfterChunks: zod.int().min(0).nullable(),
  /** So many of the next service calls run and lose their answer. */
  loseAnswers: zod.int().min(0),
  /** The target reports that it is leaving. */
  leaving: zod.boolean(),
});

/** A change of some faults of a target. */
export const TARGET_FAULT_CHANGES = TARGET_FAULTS.partial();

/** Query of the journal. */
export const JOURNAL_QUERY = zod.object({
  after: zod.coerce.number().int().min(0).default(0),
  pathPrefix: zod.string().default(''),
});

/** The body of a model call. */
export const CHAT_BODY = zod.looseObject({
  messages: zod.array(zod.looseObject({ role: zod.string(), content: zod.unknown() })).min(1),
  stream: zod.boolean().default(false),
  stream_options: zod.looseObject({ include_usage: zod.boolean().default(false) }).optional(),
  max_tokens: zod.int().min(1).optional(),
  max_completion_tokens: zod.int().min(1).optional(),
});

/** The body of a KV export. */
export const EXPORT_BODY = zod.object({ program: zod.string().min(1) });

/** The body of a KV import. */
export const IMPORT_BODY = zod.object({
  program: zod.string().min(1),
  blob: zod.string(),
  tokens: zod.int().min(0),
});

/** The body of an order. */
export const ORDER_BODY = zod.object({
  order: zod.string().min(1),
  model: zod.string().optional(),
  adapter: zod.string().optional(),
  version: zod.string().optional(),
  role: zod.string().optional(),
  scope: zod.string().optional(),
  fencingNumber: zod.number().optional(),
});
