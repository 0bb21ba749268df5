import * as fs from 'node:fs/promises';

import * as yaml from 'yaml';
import * as zod from 'zod';

const NAME = zod.string().min(1);
const SPAN_MS = zod.number().min(0);
const COUNT = zod.int().min(0);

/** Both ends of a range from which values are drawn evenly. */
const RANGE = zod
  .tuple([zod.number().min(0), zod.number().min(0)])
  .refine(([low, high]) => low <= high, 'the first must not be larger than the second');

const OPTIONS = zod.record(zod.string(), zod.union([zod.string(), zod.number(), zod.boolean()]));

const PROGRAM_KIND = zod.strictObject({
  turns: RANGE,
  /** Words of the first prompt. */
  firstPromptTokens: RANGE,
  /** Words of each later prompt. */
  promptTokens: RANGE,
  generatedTokens: RANGE,
  /** Pause between two turns, in milliseconds. */
  pauseMs: RANGE,
  /** Share of the gaps between turns in which a service is read. */
  readShare: zod.number().min(0).max(1).default(0),
  /** Whether the program ends with an order that must not be repeated. */
  orders: zod.boolean().default(false),
  /** Child programs after the first turn, and their kind. */
  children: zod.strictObject({ kind: NAME, count: COUNT }).optional(),
  /** Calls of the budget of a program that goes on until it is stopped. */
  endlessUntilCalls: COUNT.optional(),
});

const WORKSPACE = zod.strictObject({
  name: NAME,
  programsPerSecond: zod.number().min(0),
  ratePerSecond: zod.number().positive(),
  burst: zod.number().min(1),
  /** Weights of the program kinds. */
  mix: zod.record(NAME, zod.number().min(0)),
});

const BURST = zod.strictObject({
  workspace: NAME,
  /** Its arrivals come so many times as often. */
  factor: zod.number().min(1),
  fromMs: SPAN_MS,
  untilMs: SPAN_MS,
});

const FAULT = zod.strictObject({
  atMs: SPAN_MS,
  kind: zod.enum(['kill-target', 'kill-vm', 'hang-target']),
  /** Name of the target or the VM, such as `engine-1` or `vm-2`. */
  name: NAME,
  /** How long a target hangs. */
  durationMs: SPAN_MS.default(0),
});

/** A scenario as its file gives it. */
export const SCENARIO = zod.strictObject({
  name: NAME,
  /** Time in which programs arrive. */
  durationMs: zod.number().positive(),
  /** Time that a call may take, waiting included. */
  callDeadlineMs: zod.number().positive(),
  /** Share of the model calls that are sent a second time while the first is on its way. */
  resendShare: zod.number().min(0).max(1).default(0),
  fleet: zod.strictObject({
    vms: zod.int().min(1),
    failureDomains: zod.array(NAME).min(1),
    engines: zod.int().min(1),
    services: zod.int().min(1),
    engineOptions: OPTIONS.prefault({}),
    serviceOptions: OPTIONS.prefault({}),
    shardCount: zod.int().min(1),
    /** Appends that each VM may send to the log, a second. */
    appendsPerSecond: zod.number().positive(),
  }),
  routes: zod.strictObject({ models: NAME, reads: NAME, orders: NAME }),
  programs: zod.record(NAME, PROGRAM_KIND),
  workspaces: zod.array(WORKSPACE).min(1),
  burst: BURST.optional(),
  faults: zod.array(FAULT).default([]),
});

/** A scenario, checked. */
export type Scenario = zod.infer<typeof SCENARIO>;

/** A kind of program in a scenario. */
export type ProgramKind = zod.infer<typeof PROGRAM_KIND>;

/** A fault that a scenario injects. */
export type ScenarioFault = zod.infer<typeof FAULT>;

/** Reads and checks a scenario file. Throws with the reason when it is wrong. */
export async function readScenario(file: string): Promise<Scenario> {
  const result = SCENARIO.safeParse(yaml.parse(await fs.readFile(file, 'utf8')));
  if (!result.success) throw new Error(`${file}: ${zod.prettifyError(result.error)}`);
  return result.data;
}
