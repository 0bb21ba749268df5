/** Measures processor time and appends of turns, and processor time of streamed tokens. */
import * as testKit from '@limpettack/test-kit';

import * as fleets from './fleets.mjs';
import * as usage from './usage.mjs';

const VMS = 3;
const PROGRAMS = 30;
const TURN_COUNTS = [300, 600, 900, 1_200];
const STREAMS = 30;
const TOKEN_COUNTS = [200, 400, 800, 1_200];
const WARM_UP_TOKENS = 400;
const WARM_UP_TURNS = 600;
const TURN_RATES = [20, 40, 80, 160];
const RATE_PROGRAMS = 120;
const RATE_DURATION_MS = 5_000;
const IDLE_MS = 4_000;
const SETTLE_MS = 800;
const SECOND_MS = 1_000;
const ENGINE = { slots: 64, 'decode-ms-per-token': 2, 'prefill-ms-per-token': 0 };
const PROXIES = { peers: true, platform: true };

async function withFleet(measure) {
  const fleet = await fleets.startFleet({ vms: VMS, engineOptions: ENGINE, proxies: PROXIES });
  try {
    await measure(fleet, fleets.createCaller());
  } finally {
    await fleet.dispose();
  }
}

/** Opens programs that send all their requests through the first VM. */
function openPrograms(fleet, caller) {
  const opening = Array.from({ length: PROGRAMS }, () =>
    testKit.ProgramRunner.open(caller, () => fleet.vm(0)),
  );
  return Promise.all(opening);
}

/** Returns the number of appends, records and bytes over the streams of all shards. */
async function countAppends(fleet) {
  const streams = Object.entries(await fleet.platform.counts());
  const shards = streams.filter(([name]) => name !== 'configuration').map(([, counts]) => counts);
  const total = (field) => usage.sum(shards.map((counts) => counts[field]));
  return { appends: total('appends'), records: total('records'), bytes: total('bytes') };
}

/** Returns the usage of `work`, less the usage of an idle fleet in the same time. */
async function measureUsage(fleet, idle, work) {
  const before = usage.readUsage(fleet, true);
  await work();
  await usage.pause(SETTLE_MS);
  const used = usage.usedBetween(before, usage.readUsage(fleet, true));
  const share = used.durationMs / idle.durationMs;
  const processorMs = used.processorMsByVm.map(
    (value, index) => value - idle.processorMsByVm[index] * share,
  );
  // The first VM is the entry of all requests. As home it has the same share of the programs as the
  // others, so their average is subtracted from its usage.
  const homeMsPerVm = usage.sum(processorMs.slice(1)) / (VMS - 1);
  return {
    entryMs: processorMs[0] - homeMsPerVm,
    homeMs: VMS * homeMsPerVm,
    totalMs: usage.sum(processorMs),
  };
}

/** Runs `count` turns in total. Turns of the same program run one after the other. */
async function runTurns(runners, count) {
  await usage.runAll(runners.length, runners.length, async (index) => {
    const turns = runners[index].turns + count / runners.length;
    while (runners[index].turns < turns) await runners[index].turn('hello');
  });
}

/** Measures processor time, records and bytes by number of turns of 8 tokens, not streamed. */
export async function measureTurns(table) {
  await withFleet(async (fleet, caller) => {
    const runners = await openPrograms(fleet, caller);
    await runTurns(runners, WARM_UP_TURNS);
    await usage.pause(SETTLE_MS);
    const idle = await usage.measureUsage(fleet, IDLE_MS, true);
    for (const count of TURN_COUNTS) {
      table.note(`${count} turns`);
      const appendsBefore = await countAppends(fleet);
      const used = await measureUsage(fleet, idle, () => runTurns(runners, count));
      const appends = await countAppends(fleet);
      const add = (name, unit, value) => table.add(name, unit, 'turn', count, value);
      add('turn-entry-processor', 'ms', used.entryMs);
      add('turn-home-processor', 'ms', used.homeMs);
      add('turn-records', 'records', appends.records - appendsBefore.records);
      add('turn-log-bytes', 'bytes', appends.bytes - appendsBefore.bytes);
    }
  });
}

/** Streams one turn of `tokens` tokens in each program. Returns the number of tokens received. */
async function streamTurns(caller, fleet, runners, turn, tokens) {
  let received = 0;
  await usage.runAll(STREAMS, STREAMS, async (index) => {
    const { program } = runners[index];
    const call = { program, turn, text: 'hello', maximumTokens: tokens };
    for await (const event of caller.stream(fleet.vm(0), call)) {
      if (testKit.textOfEvent(event) !== '') received += 1;
    }
  });
  return received;
}

/** Measures processor time by number of tokens that are streamed to callers. */
export async function measureTokens(table) {
  await withFleet(async (fleet, caller) => {
    const runners = await openPrograms(fleet, caller);
    await streamTurns(caller, fleet, runners, 1, WARM_UP_TOKENS);
    await usage.pause(SETTLE_MS);
    const idle = await usage.measureUsage(fleet, IDLE_MS, true);
    for (const [index, tokens] of TOKEN_COUNTS.entries()) {
      table.note(`${STREAMS} streams of ${tokens} tokens`);
      let received = 0;
      const used = await measureUsage(fleet, idle, async () => {
        received = await streamTurns(caller, fleet, runners, index + 2, tokens);
      });
      const add = (name, value) => table.add(name, 'ms', 'token', received, value);
      add('token-entry-processor', used.entryMs);
      add('token-home-processor', used.homeMs);
    }
  });
}

/**
 * Runs turns at a constant rate for RATE_DURATION_MS. Turns of the same program run one after the
 * other. Returns the seconds until the last turn has ended.
 */
async function runAtRate(runners, rate) {
  const startedAt = performance.now();
  const pending = runners.map(() => Promise.resolve());
  for (let index = 0; index < (rate * RATE_DURATION_MS) / SECOND_MS; index += 1) {
    const dueAt = startedAt + (index * SECOND_MS) / rate;
    if (dueAt > performance.now()) await usage.pause(dueAt - performance.now());
    const programIndex = index % runners.length;
    pending[programIndex] = pending[programIndex].then(() => runners[programIndex].turn('hello'));
  }
  await Promise.all(pending);
  return (performance.now() - startedAt) / SECOND_MS;
}

/** Measures records per append and appends per second by rate of turns. */
export async function measureAppends(table) {
  await withFleet(async (fleet, caller) => {
    const opening = Array.from({ length: RATE_PROGRAMS }, (_, index) =>
      testKit.ProgramRunner.open(caller, () => fleet.vm(index % VMS)),
    );
    const runners = await Promise.all(opening);
    for (const rate of TURN_RATES) {
      table.note(`${rate} turns a second`);
      const before = await countAppends(fleet);
      const seconds = await runAtRate(runners, rate);
      const after = await countAppends(fleet);
      const turns = (rate * RATE_DURATION_MS) / SECOND_MS / seconds;
      const add = (name, unit, value) => table.add(name, unit, 'turn a second', turns, value);
      const appends = after.appends - before.appends;
      add('appends-by-rate', 'appends/s of the fleet', appends / seconds);
      add('batch-by-rate', 'records an append', (after.records - before.records) / appends);
    }
  });
}
