import * as zod from 'zod';

const MILLISECONDS = zod.number().min(0);
const PROBABILITY = zod.number().min(0).max(1);
const PORT = zod.coerce.number().int().min(0).max(65_535);

/** Settings of the simulated platform. */
export const PLATFORM_SETTINGS = zod.object({
  host: zod.string().default('127.0.0.1'),
  /** 0 selects a free port. */
  port: PORT.default(0),
  /** Retention of the records, in milliseconds. */
  retentionMs: zod.coerce.number().positive().default(86_400_000),
  /** Maximum rate of appends over all streams, a second. */
  appendsPerSecond: zod.coerce.number().positive().default(400),
  /** Lag of the reported list of VMs, in milliseconds. */
  vmListLagMs: zod.coerce.number().min(0).default(0),
  /** Latency of each request, in milliseconds. */
  latencyMs: zod.coerce.number().min(0).default(0),
  /** Maximum rate of requests to the weight store, a second. */
  weightsPerSecond: zod.coerce.number().positive().default(10),
  /** Size of each weight file, in bytes. */
  weightBytes: zod.coerce.number().int().min(0).default(65_536),
});

/** Faults of the simulated platform. */
export const PLATFORM_FAULTS = zod.strictObject({
  /** The log responds with 503. */
  logOutage: zod.boolean(),
  /** Delay before each log request takes effect, in milliseconds. */
  logDelayMs: MILLISECONDS,
  /** Number of upcoming appends that take effect but whose response is dropped. */
  loseAnswers: zod.int().min(0),
  /** Probability that an append takes effect but its response is dropped. */
  loseAnswersProbability: PROBABILITY,
  /** Seed of the dropped responses. */
  seed: zod.int(),
  /** The reported list of VMs does not change. */
  vmListFrozen: zod.boolean(),
  /** Overrides the setting; null keeps it. */
  vmListLagMs: MILLISECONDS.nullable(),
  /** Overrides the setting; null keeps it. */
  retentionMs: zod.number().positive().nullable(),
});

/** Partial update of the faults of the platform. */
export const PLATFORM_FAULT_CHANGES = PLATFORM_FAULTS.partial();

/** Entry of the platform's list of VMs. */
export const VM_ENTRY = zod.strictObject({
  name: zod.string().min(1),
  address: zod.string().min(1),
  failureDomain: zod.string().min(1),
  leaving: zod.boolean().default(false),
});

/** Request body that sets the list of VMs. */
export const VM_LIST_BODY = zod.strictObject({ vms: zod.array(VM_ENTRY) });

/** Request body of an append. */
export const APPEND_BODY = zod.strictObject({ payloads: zod.array(zod.string()).min(1) });

/** Query parameters of a read. */
export const READ_QUERY = zod.object({
  from: zod.coerce.number().int().min(0),
  limit: zod.coerce.number().int().min(1).max(10_000).default(500),
  waitMs: zod.coerce.number().min(0).max(60_000).default(0),
});

const TARGET_LISTENERS = {
  host: zod.string().default('127.0.0.1'),
  /** 0 selects a free port. */
  port: PORT.default(0),
  /** Port of the admin listener, which faults do not affect; 0 selects a free port. */
  adminPort: PORT.default(0),
  /** Whether requests with an outdated fencing number are refused. */
  checksFencing: zod.boolean().default(false),
  /** Maximum number of entries of calls in the journal. */
  journalEntries: zod.coerce.number().int().min(1).default(200_000),
  /** Maximum number of characters of each body in the journal. */
  journalBodyCharacters: zod.coerce.number().int().min(0).default(1_048_576),
  /** Seed of the lost cache events. */
  seed: zod.coerce.number().int().default(1),
};

/** Settings of the simulated engine. */
export const ENGINE_SETTINGS = zod.object({
  ...TARGET_LISTENERS,
  model: zod.string().default('stand-in'),
  /** Maximum number of concurrent calls. */
  slots: zod.coerce.number().int().min(1).default(16),
  /** Time to prefill one uncached token, in milliseconds. */
  prefillMsPerToken: zod.coerce.number().min(0).default(0.05),
  /** Time to generate one token when no other call runs, in milliseconds. */
  decodeMsPerToken: zod.coerce.number().min(0).default(2),
  /** A token in a full batch takes 1 + batchSlowdown times as long as in a single call. */
  batchSlowdown: zod.coerce.number().min(0).default(0.5),
  /** Number of tokens to generate when neither the call nor its last message gives one. */
  defaultTokens: zod.coerce.number().int().min(1).default(16),
  /** Capacity of the prefix cache, in tokens. */
  cacheTokens: zod.coerce.number().int().min(0).default(200_000),
  /** Delay before a cache event is published, in milliseconds. */
  cacheEventDelayMs: zod.coerce.number().min(0).default(200),
  /** Share of cache events that are lost, from 0 to 1. */
  cacheEventLoss: zod.coerce.number().min(0).max(1).default(0),
  /** Lag of the reported load, in milliseconds. */
  loadLagMs: zod.coerce.number().min(0).default(200),
  /** How long a call runs without a connection and is retained after its end, in milliseconds. */
  resumeWindowMs: zod.coerce.number().min(0).default(30_000),
  /** Time to export or import one token of a KV cache, in milliseconds. */
  transferMsPerToken: zod.coerce.number().min(0).default(0.005),
  /** Duration of a load order, in milliseconds. */
  loadingMs: zod.coerce.number().min(0).default(0),
});

/** Settings of the simulated plain service. */
export const SERVICE_SETTINGS = zod.object({
  ...TARGET_LISTENERS,
  /** Duration of an execution, in milliseconds. */
  serviceTimeMs: zod.coerce.number().min(0).default(5),
});

/** Faults of a simulated target. */
export const TARGET_FAULTS = zod.strictObject({
  /** The target crashes when the body of a call contains this text; null for never. */
  crashOnText: zod.string().min(1).nullable(),
  /** Streams stay open but send nothing. */
  stallStreams: zod.boolean(),
  /** New connections are refused and open ones are destroyed. */
  refuse: zod.boolean(),
  /** Delay before each call starts, in milliseconds. */
  delayMs: MILLISECONDS,
  /** Calls are rejected with this status and do not run; null for none. */
  status: zod.int().min(400).max(599).nullable(),
  /** Calls are accepted but neither run nor get a response. */
  hang: zod.boolean(),
  /** Number of chunks after which the connection of a stream is destroyed; null for never. */
  dropAfterChunks: zod.int().min(0).nullable(),
  /** Number of upcoming service calls that run but whose response is dropped. */
  loseAnswers: zod.int().min(0),
  /** The target reports the status `leaving`. */
  leaving: zod.boolean(),
});

/** Partial update of the faults of a target. */
export const TARGET_FAULT_CHANGES = TARGET_FAULTS.partial();

/** Query parameters of the journal. */
export const JOURNAL_QUERY = zod.object({
  after: zod.coerce.number().int().min(0).default(0),
  pathPrefix: zod.string().default(''),
});

/** Request body of a model call. */
export const CHAT_BODY = zod.looseObject({
  messages: zod.array(zod.looseObject({ role: zod.string(), content: zod.unknown() })).min(1),
  stream: zod.boolean().default(false),
  stream_options: zod.looseObject({ include_usage: zod.boolean().default(false) }).optional(),
  max_tokens: zod.int().min(1).optional(),
  max_completion_tokens: zod.int().min(1).optional(),
});

/** Request body of a KV export. */
export const EXPORT_BODY = zod.object({ program: zod.string().min(1) });

/** Request body of a KV import. */
export const IMPORT_BODY = zod.object({
  program: zod.string().min(1),
  blob: zod.string(),
  tokens: zod.int().min(0),
});

/** Request body of an order. */
export const ORDER_BODY = zod.object({
  order: zod.string().min(1),
  model: zod.string().optional(),
  adapter: zod.string().optional(),
  version: zod.string().optional(),
  role: zod.string().optional(),
  scope: zod.string().optional(),
  fencingNumber: zod.number().optional(),
});
