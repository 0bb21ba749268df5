import * as scheduling from '@limpettack/scheduling';
import * as settings from '@limpettack/settings';
import * as zod from 'zod';

const DURATION_MS = zod.int().min(1);
const PORT = zod.int().min(0).max(65_535);
const HOST = zod.string().min(1);
const POLICY_NAMES = Object.keys(scheduling.POLICIES) as [
  scheduling.PolicyName,
  ...scheduling.PolicyName[],
];

const CALLERS = zod.strictObject({
  host: HOST.default('0.0.0.0'),
  /** 0 selects a free port. */
  port: PORT,
  maximumBodyBytes: zod
    .int()
    .min(1_024)
    .default(8 * 1024 * 1024),
  headersTimeoutMs: DURATION_MS.default(10_000),
  requestTimeoutMs: DURATION_MS.default(60_000),
  maximumConnections: zod.int().min(1).default(10_000),
});

const PEERS = zod.strictObject({
  host: HOST.default('0.0.0.0'),
  port: PORT,
  /** Address under which peers reach this process, as `host:port`, if not the listening address. */
  advertisedAddress: zod.string().optional(),
  /** The secret that all processes of the fleet share. */
  secret: settings.SECRET,
  /** Addresses of some peers, used at the start while the platform's list of VMs is unavailable. */
  seeds: zod.array(zod.string()).default([]),
});

const OPERATORS = zod.strictObject({
  host: HOST.default('127.0.0.1'),
  port: PORT,
  /** The bearer token that operators must present. */
  token: settings.SECRET,
});

const PLATFORM = zod.strictObject({
  url: zod.url({ protocol: /^https?$/ }),
  requestTimeoutMs: DURATION_MS.default(2_000),
});

const JOURNAL = zod.strictObject({
  /** Number of shards; fixed when the installation is created, and equal on every VM. */
  shardCount: zod.int().min(1).max(4_096).default(24),
  /** Maximum appends per second of this VM. The sum over all VMs must be below the log's rate. */
  appendsPerSecond: zod.number().positive().default(30),
  /** Time for which an owner is unreachable before another VM claims its shard, in milliseconds. */
  suspicionMs: DURATION_MS.default(1_500),
  /** Validity of a confirmed ownership, in milliseconds; below the suspicion time. */
  authorityWindowMs: DURATION_MS.default(1_000),
});

const MEMBERSHIP = zod.strictObject({
  probeIntervalMs: DURATION_MS.default(500),
  probeTimeoutMs: DURATION_MS.default(400),
  suspicionMs: DURATION_MS.default(800),
  listIntervalMs: DURATION_MS.default(2_000),
});

const SHUTDOWN = zod.strictObject({
  /** Time for the load balancer to detect that the VM is no longer ready, in milliseconds. */
  drainDelayMs: zod.int().min(0).default(2_000),
  handOverTimeoutMs: DURATION_MS.default(10_000),
});

/** Schema of the settings of a VM process. */
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
    /** Credentials for targets, by the names that the pools use. */
    credentials: zod.record(zod.string(), settings.SECRET).default({}),
    shutdown: SHUTDOWN.prefault({}),
  })
  .refine((value) => value.journal.authorityWindowMs < value.journal.suspicionMs, {
    path: ['journal', 'authorityWindowMs'],
    message: 'must be below journal.suspicionMs',
  });

/** The validated settings of a VM process. */
export type NodeSettings = zod.infer<typeof NODE_SETTINGS>;
