import * as clock from '@limpettack/clock';
import * as testKit from '@limpettack/test-kit';

import type { Arrival, RunRecord } from './Types.js';
import * as checkOutcomes from './checkOutcomes.js';
import * as drawing from './drawArrivals.js';
import * as fleets from './fleetOf.js';
import * as idealTimes from './idealTimes.js';
import * as faults from './injectFaults.js';
import * as programCallers from './ProgramCaller.js';
import * as randomDraws from './RandomDraws.js';
import * as runRecorder from './RunRecorder.js';
import type { Scenario } from './scenarios.js';
import * as workspaceCallers from './WorkspaceCaller.js';

/** Time after the last arrival in which programs may end. */
const DRAIN_MS = 30_000;

/** How often the start of a fleet is tried. */
const MAXIMUM_STARTS = 3;

/** How long a run waits for the shards to be spread over the VMs. */
const BALANCE_TIMEOUT_MS = 3_000;
const BALANCE_INTERVAL_MS = 100;

/** How a scenario is run. */
export interface RunOptions {
  readonly policy: string;
  readonly seed: number;
  /** Runs only the programs of this workspace. */
  readonly onlyWorkspace?: string;
}

/** Starts the fleet of a scenario, runs all its programs and takes the fleet down. */
export async function runScenario(scenario: Scenario, options: RunOptions): Promise<RunRecord> {
  const fleet = await startFleet(scenario, options.policy);
  try {
    return await runOn(fleet, scenario, options);
  } finally {
    await fleet.dispose();
  }
}

/** Starts again when a process ends early, as when another has taken its free port. */
async function startFleet(scenario: Scenario, policy: string): Promise<testKit.Fleet> {
  for (let starts = 1; ; starts += 1) {
    try {
      const fleet = await fleets.startFleetOf(scenario, policy);
      await untilBalanced(fleet);
      return fleet;
    } catch (error) {
      if (starts === MAXIMUM_STARTS) throw error;
    }
  }
}

/** Waits until every shard has a standby and every VM owns some, or for a bounded time. */
async function untilBalanced(fleet: testKit.Fleet): Promise<void> {
  const balanced = testKit.waitFor(() => isBalanced(fleet), {
    what: 'the shards to be spread',
    timeoutMs: BALANCE_TIMEOUT_MS,
    intervalMs: BALANCE_INTERVAL_MS,
  });
  // The fleet also serves while its shards move, so a run goes on without.
  await balanced.catch(() => false);
}

async function isBalanced(fleet: testKit.Fleet): Promise<boolean> {
  const { shards } = await fleet.vm(0).describeFleet();
  const owners = new Set(shards.map((shard) => shard?.owner.name));
  const hasStandbys = shards.every((shard) => shard?.standby !== undefined);
  return hasStandbys && owners.size >= Math.min(fleet.vms.length, shards.length);
}

async function runOn(
  fleet: testKit.Fleet,
  scenario: Scenario,
  options: RunOptions,
): Promise<RunRecord> {
  const time = new clock.SystemClock();
  const recorder = new runRecorder.RunRecorder();
  const startedAt = time.now();
  const endsAt = startedAt + scenario.durationMs + DRAIN_MS;
  const resendDraws = new randomDraws.RandomDraws(options.seed);
  const pickVm = createPicker(fleet);
  const callers = new Map(
    scenario.workspaces.map(({ name }) => {
      const caller = new testKit.Caller(fleets.keyOf(name), scenario.routes.models);
      return [
        name,
        new workspaceCallers.WorkspaceCaller(
          caller,
          name,
          pickVm,
          recorder,
          time,
          startedAt,
          endsAt,
        ),
      ];
    }),
  );
  const runArrival = async (arrival: Arrival): Promise<void> => {
    const caller = callers.get(arrival.workspace);
    if (caller === undefined) return;
    await time.sleep(arrival.atMs);
    const arrivedAt = time.now();
    const program = new programCallers.ProgramCaller(
      {
        scenario,
        caller,
        recorder,
        clock: time,
        resends: () => resendDraws.chance(scenario.resendShare),
      },
      arrival,
    );
    const end = await program.run();
    const latencyMs = time.now() - arrivedAt;
    recorder.addProgram({
      arrival,
      ...end,
      latencyMs,
      idealMs: idealTimes.idealMs(scenario, arrival.steps),
    });
  };
  const faulting = faults.injectFaults(scenario, fleet, time);
  await Promise.all(arrivalsOf(scenario, options).map(runArrival));
  await faulting;
  await checkOutcomes.checkExecutions(fleet, recorder);
  return recorder;
}

/** The programs that a run sends. */
export function arrivalsOf(scenario: Scenario, options: RunOptions): readonly Arrival[] {
  const { onlyWorkspace } = options;
  return drawing
    .drawArrivals(scenario, options.seed)
    .filter(({ workspace }) => onlyWorkspace === undefined || workspace === onlyWorkspace);
}

/** Picks the VMs that run in turn, as the platform's balancer does. */
function createPicker(fleet: testKit.Fleet): () => testKit.CallerEndpoint {
  let next = 0;
  return () => {
    const running = fleet.vms.filter((vm) => vm.process.isRunning);
    next += 1;
    return running[next % running.length] ?? fleet.vm(0);
  };
}
