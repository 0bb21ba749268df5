import * as fs from 'node:fs/promises';

import * as yaml from 'yaml';
import * as zod from 'zod';

const NAME = zod.string().min(1);
const DURATION_MS = zod.number().min(0);
const COUNT = zod.int().min(0);

/** Both ends of a range with a uniform distribution. */
const RANGE = zod
  .tuple([zod.number().min(0), zod.number().min(0)])
  .refine(([low, high]) => low <= high, 'the first must not be larger than the second');

const OPTIONS = zod.record(zod.string(), zod.union([zod.string(), zod.number(), zod.boolean()]));

const PROGRAM_KIND = zod.strictObject({
  turns: RANGE,
  /** Number of words of the first prompt. */
  firstPromptTokens: RANGE,
  /** Number of words of each later prompt. */
  promptTokens: RANGE,
  generatedTokens: RANGE,
  /** Pause between two turns, in milliseconds. */
  pauseMs: RANGE,
  /** Share of the gaps between turns in which the program reads from a service. */
  readShare: zod.number().min(0).max(1).default(0),
  /** Whether the program ends with an order, which must not be executed twice. */
  orders: zod.boolean().default(false),
  /** Kind and number of child programs after the first turn. */
  children: zod.strictObject({ kind: NAME, count: COUNT }).optional(),
  /** Call budget of a program that continues until the budget stops it. */
  endlessUntilCalls: COUNT.optional(),
});

const WORKSPACE = zod.strictObject({
  name: NAME,
  programsPerSecond: zod.number().min(0),
  ratePerSecond: zod.number().positive(),
  burst: zod.number().min(1),
  /** Relative weights of the program kinds. */
  mix: zod.record(NAME, zod.number().min(0)),
});

const BURST = zod.strictObject({
  workspace: NAME,
  /** Factor by which the arrival rate increases. */
  factor: zod.number().min(1),
  fromMs: DURATION_MS,
  untilMs: DURATION_MS,
});

/** A fault in a scenario file. */
export const FAULT = zod.strictObject({
  atMs: DURATION_MS,
  kind: zod.enum(['kill-target', 'kill-vm', 'hang-target']),
  /** Name of the target or the VM, such as `engine-1` or `vm-2`. */
  name: NAME,
  /** How long a target hangs, in milliseconds. */
  durationMs: DURATION_MS.default(0),
});

/** A scenario file. */
export const SCENARIO = zod.strictObject({
  name: NAME,
  /** Duration of the arrivals, in milliseconds. */
  durationMs: zod.number().positive(),
  /** Deadline of a call including its waiting time, in milliseconds. */
  callDeadlineMs: zod.number().positive(),
  /** Share of the model calls that are sent a second time while the first is in progress. */
  resendShare: zod.number().min(0).max(1).default(0),
  fleet: zod.strictObject({
    vms: zod.int().min(1),
    failureDomains: zod.array(NAME).min(1),
    engines: zod.int().min(1),
    services: zod.int().min(1),
    engineOptions: OPTIONS.prefault({}),
    serviceOptions: OPTIONS.prefault({}),
    shardCount: zod.int().min(1),
    /** Maximum rate of appends of each VM to the log, a second. */
    appendsPerSecond: zod.number().positive(),
  }),
  routes: zod.strictObject({ models: NAME, reads: NAME, orders: NAME }),
  programs: zod.record(NAME, PROGRAM_KIND),
  workspaces: zod.array(WORKSPACE).min(1),
  burst: BURST.optional(),
  faults: zod.array(FAULT).default([]),
});

/** A validated scenario. */
export type Scenario = zod.infer<typeof SCENARIO>;

/** A kind of program in a scenario. */
export type ProgramKind = zod.infer<typeof PROGRAM_KIND>;

/** A fault that a scenario injects. */
export type ScenarioFault = zod.infer<typeof FAULT>;

/** Reads and validates a scenario file. Throws with the reason when it is invalid. */
export async function readScenario(file: string): Promise<Scenario> {
  const result = SCENARIO.safeParse(yaml.parse(await fs.readFile(file, 'utf8')));
  if (!result.success) throw new Error(`${file}: ${zod.prettifyError(result.error)}`);
  return result.data;
}
