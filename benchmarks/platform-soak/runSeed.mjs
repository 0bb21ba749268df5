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

const { PROMISES } = verdictsModule;
const VMS = 4;
const ENGINES = 3;
const CHAIN_LANES = 6;
const LOOP_LANES = 2;
/** Time after the last fault in which all programs must end. */
const END_TIMEOUT_MS = 20_000;
/** Lane of the random choices of the chains' input sizes. */
const CHAINS_LANE = 1;
const MINIMUM_GAP_MS = 200;
const MAXIMUM_GAP_MS = 1_200;

/** Runs processes under load and faults that a seed determines, and checks the promises. */
export async function runSeed(seed, durationMs, verdicts) {
  const log = new keyedLogTesting.MemoryKeyedLog();
  const events = [];
  const onExit = (detail) => verdicts.check(PROMISES.PROCESSES, false, detail);
  const fleet = new processFleet.ProcessFleet(log, onExit);
  const engines = Array.from(
    { length: ENGINES },
    (_, index) => new platformTesting.FakeEngine(`i-${index}`),
  );
  const write = createWriter(log);
  let version = 0;
  const configure = async () => {
    version += 1;
    await write('op', 'config', createConfiguration(version));
  };
  try {
    for (const engine of engines) await write('servers', engine.id, await engine.listen('engines'));
    await configure();
    await fleet.start(VMS);
    const random = createRandom.createRandom(seed);
    const programs = new programLoad.ProgramLoad({ fleet, random, verdicts });
    const running = startPrograms(programs);
    const faults = createFaults.createFaults({ configure, engines, fleet, log, random, verdicts });
    await runFaults({ faults, random, durationMs, events });
    programs.isEnding = true;
    programs.endDeadline = Date.now() + END_TIMEOUT_MS;
    await running;
    const chainsRandom = createRandom.createRandom(seed, CHAINS_LANE);
    const collaborators = { engines, fleet, log, programs, random: chainsRandom, verdicts };
    events.push('then: all VMs lose power while chains are retained');
    await new retainedChains.RetainedChains(collaborators).run();
    programs.checkRuns(engines);
    verdicts.check(PROMISES.PROCESSES, true);
    return { events, warnings: [] };
  } finally {
    await fleet.dispose();
    await Promise.all(engines.map((engine) => engine.dispose()));
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
  return { ...configuration, Routes: [...configuration.Routes, { ...once, Retained: false }] };
}
