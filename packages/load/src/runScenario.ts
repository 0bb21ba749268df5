import * as clock from '@limpettack/clock';
import * as testKit from '@limpettack/test-kit';

import type { Arrival, RunRecord } from './Types.js';
import * as checkExecutions from './checkExecutions.js';
import * as drawArrivals from './drawArrivals.js';
import * as startScenarioFleet from './startScenarioFleet.js';
import * as idealTimes from './idealTimes.js';
import * as injectFaults from './injectFaults.js';
import * as programCallers from './ProgramCaller.js';
import * as randomDraws from './RandomDraws.js';
import * as runRecorder from './RunRecorder.js';
import type { Scenario } from './scenarios.js';
import * as workspaceCallers from './WorkspaceCaller.js';

/** Time after the arrivals in which programs may still finish. */
const DRAIN_MS = 30_000;

/** Maximum number of attempts to start a fleet. */
const MAXIMUM_START_ATTEMPTS = 3;

/** Maximum time to wait until the shards are distributed over the VMs. */
const BALANCE_TIMEOUT_MS = 3_000;
const BALANCE_INTERVAL_MS = 100;

/** Options of a run of a scenario. */
export interface RunOptions {
  readonly policy: string;
  readonly seed: number;
  /** Runs only the programs of this workspace. */
  readonly onlyWorkspace?: string;
}

/** Starts the fleet of a scenario, runs all its programs and stops the fleet. */
export async function runScenario(scenario: Scenario, options: RunOptions): Promise<RunRecord> {
  const fleet = await startFleet(scenario, options.policy);
  try {
    return await runPrograms(fleet, scenario, options);
  } finally {
    await fleet.dispose();
  }
}

/** Retries when a process exits early, for example because its free port was taken meanwhile. */
async function startFleet(scenario: Scenario, policy: string): Promise<testKit.Fleet> {
  for (let attempt = 1; ; attempt += 1) {
    try {
      const fleet = await startScenarioFleet.startScenarioFleet(scenario, policy);
      await waitUntilBalanced(fleet);
      return fleet;
    } catch (error) {
      if (attempt === MAXIMUM_START_ATTEMPTS) throw error;
    }
  }
}

/** Waits until every shard has a standby and every VM owns shards, or until the timeout. */
async function waitUntilBalanced(fleet: testKit.Fleet): Promise<void> {
  const balanced = testKit.waitFor(() => isBalanced(fleet), {
    what: 'the shards to be spread',
    timeoutMs: BALANCE_TIMEOUT_MS,
    intervalMs: BALANCE_INTERVAL_MS,
  });
  // The fleet also serves while its shards move, so the run continues after a timeout.
  await balanced.catch(() => false);
}

async function isBalanced(fleet: testKit.Fleet): Promise<boolean> {
  const { shards } = await fleet.vm(0).describeFleet();
  const owners = new Set(shards.map((shard) => shard?.owner.name));
  const hasStandbys = shards.every((shard) => shard?.standby !== undefined);
  return hasStandbys && owners.size >= Math.min(fleet.vms.length, shards.length);
}

async function runPrograms(
  fleet: testKit.Fleet,
  scenario: Scenario,
  options: RunOptions,
): Promise<RunRecord> {
  const time = new clock.SystemClock();
  const recorder = new runRecorder.RunRecorder();
  const startedAt = time.now();
  const endsAt = startedAt + scenario.durationMs + DRAIN_MS;
  const resendDraws = new randomDraws.RandomDraws(options.seed);
  const pickVm = createRoundRobinPicker(fleet);
  const callers = new Map(
    scenario.workspaces.map(({ name }) => {
      const caller = new testKit.Caller(
        startScenarioFleet.workspaceKeyOf(name),
        scenario.routes.models,
      );
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
        shouldResend: () => resendDraws.chance(scenario.resendShare),
      },
      arrival,
    );
    const result = await program.run();
    const latencyMs = time.now() - arrivedAt;
    recorder.addProgram({
      arrival,
      ...result,
      latencyMs,
      idealMs: idealTimes.idealMs(scenario, arrival.steps),
    });
  };
  const faultInjection = injectFaults.injectFaults(scenario, fleet, time);
  await Promise.all(arrivalsOf(scenario, options).map(runArrival));
  await faultInjection;
  await checkExecutions.checkExecutions(fleet, recorder);
  return recorder;
}

/** The arrivals of a run, filtered by `onlyWorkspace`. */
export function arrivalsOf(scenario: Scenario, options: RunOptions): readonly Arrival[] {
  const { onlyWorkspace } = options;
  return drawArrivals
    .drawArrivals(scenario, options.seed)
    .filter(({ workspace }) => onlyWorkspace === undefined || workspace === onlyWorkspace);
}

/** Returns a function that picks the running VMs in turn, like the platform's load balancer. */
function createRoundRobinPicker(fleet: testKit.Fleet): () => testKit.CallerEndpoint {
  let next = 0;
  return () => {
    const running = fleet.vms.filter((vm) => vm.process.isRunning);
    next += 1;
    return running[next % running.length] ?? fleet.vm(0);
  };
}
