import * as buffer from 'node:buffer';
import * as timers from 'node:timers/promises';
import * as keyedLogTesting from '@limpettack/keyed-log/testing';
import * as platformTesting from '@limpettack/platform/testing';
import * as createRandom from '../soak/createRandom.mjs';
import * as verdictsModule from '../soak/Verdicts.mjs';
import * as createFaults from './createFaults.mjs';
import * as retainedChains from './RetainedChains.mjs';
import * as processFleet from './ProcessFleet.mjs';
import * as programLoad from './ProgramLoad.mjs';
import * as supervisorModule from './Supervisor.mjs';
import * as trafficLoad from './TrafficLoad.mjs';

const { PROMISES } = verdictsModule;
const ENGINES = 3;
/** Targets of the traffic, per VM. */
const STREAM_TARGETS_PER_VM = 2;
const CHAIN_LANES = 6;
const LOOP_LANES = 2;
/** Time after the last fault in which all programs must end. */
const END_TIMEOUT_MS = 20_000;
/** Lane of the random choices of the chains' input sizes. */
const CHAINS_LANE = 1;
/** Lane of the random choices of the traffic. */
const TRAFFIC_LANE = 2;
/** Short, so that the turns of the traffic do not fill the memory of the fake store. */
const TRAFFIC_RETENTION_S = 10;
const MINIMUM_GAP_MS = 200;
const MAXIMUM_GAP_MS = 1_200;

/**
 * Runs processes under load and faults that a seed determines, and checks the promises.
 * @param options.turnsPerSecond Rate of the traffic at each VM.
 */
export async function runSeed(seed, options, verdicts) {
  const { durationMs, hasFaults, memoryMb, turnsPerSecond, vmCount } = options;
  const log = new keyedLogTesting.MemoryKeyedLog();
  const events = [];
  const fleet = new processFleet.ProcessFleet(log);
  const supervisor = new supervisorModule.Supervisor({ events, fleet, verdicts });
  fleet.onExit = (vm, detail) => supervisor.handleExit(vm, detail);
  fleet.memoryMb = memoryMb;
  const engines = Array.from(
    { length: ENGINES },
    (_, index) => new platformTesting.FakeEngine(`i-${index}`),
  );
  const streamTargets = Array.from(
    { length: STREAM_TARGETS_PER_VM * vmCount },
    (_, index) => new platformTesting.FakeEngine(`s-${index}`),
  );
  const write = createWriter(log);
  let version = 0;
  const configure = async () => {
    version += 1;
    await write('op', 'config', createConfiguration(version));
  };
  try {
    for (const engine of engines) await write('servers', engine.id, await engine.listen('engines'));
    for (const target of streamTargets) {
      target.recordsRuns = false;
      await write('servers', target.id, await target.listen('streams'));
    }
    await configure();
    supervisor.start();
    await fleet.start(vmCount);
    const random = createRandom.createRandom(seed);
    const trafficRandom = createRandom.createRandom(seed, TRAFFIC_LANE);
    const trafficOptions = { fleet, random: trafficRandom, turnsPerSecond, verdicts };
    const traffic = new trafficLoad.TrafficLoad(trafficOptions);
    const trafficRunning = traffic.run();
    const programs = new programLoad.ProgramLoad({ fleet, random, verdicts });
    const running = startPrograms(programs);
    const faultOptions = { configure, engines, fleet, log, random, traffic, verdicts, write };
    const faults = createFaults.createFaults(faultOptions);
    if (hasFaults) await runFaults({ faults, random, durationMs, events });
    else await timers.setTimeout(durationMs);
    traffic.isEnding = true;
    programs.isEnding = true;
    programs.endDeadline = Date.now() + END_TIMEOUT_MS;
    await Promise.all([running, trafficRunning]);
    const chainsRandom = createRandom.createRandom(seed, CHAINS_LANE);
    const collaborators = { engines, fleet, log, programs, random: chainsRandom, verdicts };
    events.push('then: all VMs lose power while chains are retained');
    await new retainedChains.RetainedChains(collaborators).run();
    programs.checkRuns(engines);
    verdicts.check(PROMISES.PROCESSES, true);
    return { events, warnings: [] };
  } finally {
    supervisor.dispose();
    await fleet.dispose();
    await Promise.all([...engines, ...streamTargets].map((engine) => engine.dispose()));
  }
}

async function runFaults({ faults, random, durationMs, events }) {
  const startedAt = Date.now();
  const running = [];
  while (Date.now() - startedAt < durationMs) {
    const name = random.pick(Object.keys(faults));
    events.push(`${Date.now() - startedAt} ms: ${name}`);
    running.push(faults[name]());
    await timers.setTimeout(random.between(MINIMUM_GAP_MS, MAXIMUM_GAP_MS));
  }
  await Promise.all(running);
}

function startPrograms(programs) {
  const repeat = async (lane, run) => {
    for (let count = 0; !programs.isEnding; count += 1) await run(`${lane}-${count}`);
  };
  const chains = Array.from({ length: CHAIN_LANES }, (_, lane) =>
    repeat(`chain-${lane}`, (name) =>
      programs.runChain(name, () => programs.endDeadline ?? Infinity),
    ),
  );
  const loops = Array.from({ length: LOOP_LANES }, (_, lane) =>
    repeat(`loop-${lane}`, (name) => programs.runLoop(name)),
  );
  return Promise.all([...chains, ...loops]);
}

function createWriter(log) {
  let sequence = 0;
  return async (topic, key, content) => {
    const value = buffer.Buffer.from(JSON.stringify(content));
    const name = { topic: `keyed.${topic}`, partition: 0 };
    // Repeats the append until it succeeds, as an operator does. The log recognizes repeated
    // appends by their sequence number.
    sequence += 1;
    const identity = { producer: 'operator', sequence };
    while ((await log.append(name, [{ key, value }], { identity })).isErr)
      await timers.setTimeout(50);
  };
}

function createConfiguration(version) {
  const configuration = platformTesting.createConfiguration(version);
  const [retainedRoute] = configuration.Routes;
  const once = {
    ...retainedRoute,
    Name: 'once',
    PathPrefix: '/once/',
    RouteKind: 'non_idempotent',
  };
  const traffic = {
    ...retainedRoute,
    Name: 'traffic',
    PathPrefix: '/traffic/',
    Service: 'streams',
    RetentionS: TRAFFIC_RETENTION_S,
  };
  const { Services, Tenants } = configuration;
  return {
    ...configuration,
    Routes: [...configuration.Routes, { ...once, Retained: false }, traffic],
    Services: [...Services, { ...Services[0], Name: 'streams' }],
    Tenants: [...Tenants, { Name: 'w-2', ApiKeys: ['key-3'], RatePerS: 2_000, Burst: 2_000 }],
  };
}
