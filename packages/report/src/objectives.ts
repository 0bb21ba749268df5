import * as errors from '@limpettack/errors';
import * as zod from 'zod';

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const DAY_MS = 24 * HOUR_MS;

/** Lengths of the windows of burn rates, in milliseconds. */
const DEFAULT_WINDOWS_MS = [5 * MINUTE_MS, HOUR_MS, 6 * HOUR_MS, 3 * DAY_MS];

/** Period of an error budget, in milliseconds. */
const DEFAULT_PERIOD_MS = 30 * DAY_MS;

/** Metrics that latency objectives can use, and their names in the metrics of a VM. */
export const LATENCY_METRICS = {
  'first-token': 'limpettack_first_token_seconds',
  'between-tokens': 'limpettack_between_tokens_seconds',
  call: 'limpettack_call_seconds',
  program: 'limpettack_program_seconds',
} as const;

/** Kinds of objective. */
export const OBJECTIVE_KINDS = {
  /** A share of the events must take at most the threshold. */
  LATENCY: 'latency',
  /** A share of the admitted requests must not be refused by the system. */
  REFUSALS: 'refusals',
  /** A share of the calls of each workspace must take at most the threshold. */
  WORST_WORKSPACE: 'worst-workspace',
} as const;

/** Refusals of requests within their workspace's rate that are not caused by the caller. */
const DEFAULT_REFUSAL_KINDS: errors.ErrorKind[] = [
  'overloaded',
  'deadline-unreachable',
  'deadline-exceeded',
  'target-unavailable',
  'target-failed',
  'stream-interrupted',
  'budget-not-reserved',
  'history-incomplete',
  'log-unavailable',
  'home-unavailable',
  'not-owner',
  'not-ready',
  'shutting-down',
  'internal',
];

const ERROR_KIND_NAMES = Object.keys(errors.ERROR_KINDS) as errors.ErrorKind[];

const COMMON = {
  name: zod.string().min(1).max(100),
  /** Share of events that must be good. */
  target: zod.number().gt(0).lt(1),
};

const LATENCY_OBJECTIVE = zod.strictObject({
  ...COMMON,
  kind: zod.literal(OBJECTIVE_KINDS.LATENCY),
  metric: zod.enum(Object.keys(LATENCY_METRICS) as (keyof typeof LATENCY_METRICS)[]),
  thresholdMs: zod.number().positive(),
  /** Route of the events; all routes when omitted. */
  route: zod.string().optional(),
});

const REFUSALS_OBJECTIVE = zod.strictObject({
  ...COMMON,
  kind: zod.literal(OBJECTIVE_KINDS.REFUSALS),
  /** Kinds of error that are treated as bad events. */
  refusalKinds: zod.array(zod.enum(ERROR_KIND_NAMES)).default(DEFAULT_REFUSAL_KINDS),
});

const WORST_WORKSPACE_OBJECTIVE = zod.strictObject({
  ...COMMON,
  kind: zod.literal(OBJECTIVE_KINDS.WORST_WORKSPACE),
  thresholdMs: zod.number().positive(),
  /** Minimum number of calls for a workspace to be included in a window. */
  minimumCalls: zod.int().min(1).default(20),
});

/** File of objectives. */
export const OBJECTIVES = zod.strictObject({
  service: zod.string().min(1).max(100),
  windowsMs: zod.array(zod.int().min(1_000)).min(1).default(DEFAULT_WINDOWS_MS),
  periodMs: zod.int().min(1_000).default(DEFAULT_PERIOD_MS),
  objectives: zod
    .array(
      zod.discriminatedUnion('kind', [
        LATENCY_OBJECTIVE,
        REFUSALS_OBJECTIVE,
        WORST_WORKSPACE_OBJECTIVE,
      ]),
    )
    .min(1),
});
