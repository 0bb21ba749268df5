import * as scheduling from '@limpettack/scheduling';
import * as settings from '@limpettack/settings';
import * as zod from 'zod';

const SPAN_MS = zod.int().min(1);
const PORT = zod.int().min(0).max(65_535);
const HOST = zod.string().min(1);
const POLICY_NAMES = Object.keys(scheduling.POLICIES) as [
  scheduling.PolicyName,
  ...scheduling.PolicyName[],
];

const CALLERS = zod.strictObject({
  host: HOST.default('0.0.0.0'),
  /** 0 takes a free port. */
  port: PORT,
  maximumBodyBytes: zod
    .int()
    .min(1_024)
    .default(8 * 1024 * 1024),
  headersTimeoutMs: SPAN_MS.default(10_000),
  requestTimeoutMs: SPAN_MS.default(60_000),
  maximumConnections: zod.int().min(1).default(10_000),
});

const PEERS = zod.strictObject({
  host: HOST.default('0.0.0.0'),
  port: PORT,
  /** Where peers reach this process, as `host:port`, when it is not where it listens. */
  advertisedAddress: zod.string().optional(),
  /** The secret that all processes of the fleet hold. */
  secret: settings.SECRET,
  /** Addresses of some peers, for a start while the platform's list is down. */
  seeds: zod.array(zod.string()).default([]),
});

const OPERATORS = zod.strictObject({
  host: HOST.default('127.0.0.1'),
  port: PORT,
  /** The token that operators show. */
  token: settings.SECRET,
});

const PLATFORM = zod.strictObject({
  url: zod.url({ protocol: /^https?$/ }),
  requestTimeoutMs: SPAN_MS.default(2_000),
});

const JOURNAL = zod.strictObject({
  /** Fixed when the installation is created; the same on every VM. */
  shardCount: zod.int().min(1).max(4_096).default(24),
  /** Appends a second that this VM sends at most; over all VMs below the log's rate. */
  appendsPerSecond: zod.number().positive().default(30),
  /** How long a holder is out of reach before its shard is claimed. */
  suspicionMs: SPAN_MS.default(1_500),
  /** How long a confirmation of ownership is relied on; below the suspicion time. */
  authorityWindowMs: SPAN_MS.default(1_000),
});

const MEMBERSHIP = zod.strictObject({
  probeIntervalMs: SPAN_MS.default(500),
  probeTimeoutMs: SPAN_MS.default(400),
  suspicionMs: SPAN_MS.default(800),
  listIntervalMs: SPAN_MS.default(2_000),
});

const SHUTDOWN = zod.strictObject({
  /** Time in which the balancer notices that the VM is not ready any more. */
  drainDelayMs: zod.int().min(0).default(2_000),
  handOverTimeoutMs: SPAN_MS.default(10_000),
});

/** The settings of a VM process. */
export const NODE_SETTINGS = zod
  .strictObject({
    vm: zod.strictObject({ name: zod.string().min(1).max(100), failureDomain: HOST }),
    callers: CALLERS,
    peers: PEERS,
    operators: OPERATORS,
    platform: PLATFORM,
    journal: JOURNAL.prefault({}),
    membership: MEMBERSHIP.prefault({}),
    scheduling: zod.strictObject({ policy: zod.enum(POLICY_NAMES).default('fair') }).prefault({}),
    /** Credentials for targets, by the names that the table of pools uses. */
    credentials: zod.record(zod.string(), settings.SECRET).default({}),
    shutdown: SHUTDOWN.prefault({}),
  })
  .refine((value) => value.journal.authorityWindowMs < value.journal.suspicionMs, {
    path: ['journal', 'authorityWindowMs'],
    message: 'must be below journal.suspicionMs',
  });

/** The settings of a VM process, checked. */
export type NodeSettings = zod.infer<typeof NODE_SETTINGS>;
