/** Processor time and appends of turns and of streamed tokens. */
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
const PACED_PROGRAMS = 120;
const RATE_SPAN_MS = 5_000;
const IDLE_MS = 4_000;
const SETTLE_MS = 800;
const SECOND_MS = 1_000;
const ENGINE = { slots: 64, 'decode-ms-per-token': 2, 'prefill-ms-per-token': 0 };
const PROXIES = { peers: true, platform: true };

async function withFleet(take) {
  const fleet = await fleets.startFleet({ vms: VMS, engineOptions: ENGINE, proxies: PROXIES });
  try {
    await take(fleet, fleets.createCaller());
  } finally {
    await fleet.dispose();
  }
}

/** Programs whose every request goes through the first VM. */
function openPrograms(fleet, caller) {
  const opening = Array.from({ length: PROGRAMS }, () =>
    testKit.ProgramRunner.open(caller, () => fleet.vm(0)),
  );
  return Promise.all(opening);
}

/** Appends, records and bytes of all streams of shards. */
async function countAppends(fleet) {
  const streams = Object.entries(await fleet.platform.counts());
  const shards = streams.filter(([name]) => name !== 'configuration').map(([, counts]) => counts);
  const total = (field) => usage.sum(shards.map((counts) => counts[field]));
  return { appends: total('appends'), records: total('records'), bytes: total('bytes') };
}

/** The use of a fleet by a piece of work, less what it uses in the same time without work. */
async function usedBy(fleet, idle, work) {
  const before = usage.readUsage(fleet, true);
  await work();
  await usage.pause(SETTLE_MS);
  const used = usage.usedBetween(before, usage.readUsage(fleet, true));
  const share = used.spanMs / idle.spanMs;
  const spans = used.spans.map((span, index) => span - idle.spans[index] * share);
  // The first VM is entry of all, and home of its share as the others are.
  const homeOnly = usage.sum(spans.slice(1)) / (VMS - 1);
  return { entryMs: spans[0] - homeOnly, homeMs: VMS * homeOnly, totalMs: usage.sum(spans) };
}

/** Runs so many turns in all, those of one program one after the other. */
async function runTurns(runners, count) {
  await usage.runAll(runners.length, runners.length, async (index) => {
    const turns = runners[index].turns + count / runners.length;
    while (runners[index].turns < turns) await runners[index].turn('hello');
  });
}

/** Processor time, appends and bytes by number of turns of 8 tokens, not streamed. */
export async function measureTurns(table) {
  await withFleet(async (fleet, caller) => {
    const runners = await openPrograms(fleet, caller);
    await runTurns(runners, WARM_UP_TURNS);
    await usage.pause(SETTLE_MS);
    const idle = await usage.watchUsage(fleet, IDLE_MS, true);
    for (const count of TURN_COUNTS) {
      table.note(`${count} turns`);
      const appendsBefore = await countAppends(fleet);
      const used = await usedBy(fleet, idle, () => runTurns(runners, count));
      const appends = await countAppends(fleet);
      const add = (name, unit, value) => table.add(name, unit, 'turn', count, value);
      add('turn-entry-processor', 'ms', used.entryMs);
      add('turn-home-processor', 'ms', used.homeMs);
      add('turn-records', 'records', appends.records - appendsBefore.records);
      add('turn-log-bytes', 'bytes', appends.bytes - appendsBefore.bytes);
    }
  });
}

/** Streams so many tokens of one turn to each of the callers; returns how many came. */
async function streamTurns(caller, fleet, runners, turn, tokens) {
  let relayed = 0;
  await usage.runAll(STREAMS, STREAMS, async (index) => {
    const { program } = runners[index];
    const call = { program, turn, text: 'hello', maximumTokens: tokens };
    for await (const event of caller.stream(fleet.vm(0), call)) {
      if (testKit.textOfEvent(event) !== '') relayed += 1;
    }
  });
  return relayed;
}

/** Processor time by number of tokens that are streamed to callers. */
export async function measureTokens(table) {
  await withFleet(async (fleet, caller) => {
    const runners = await openPrograms(fleet, caller);
    await streamTurns(caller, fleet, runners, 1, WARM_UP_TOKENS);
    await usage.pause(SETTLE_MS);
    const idle = await usage.watchUsage(fleet, IDLE_MS, true);
    for (const [index, tokens] of TOKEN_COUNTS.entries()) {
      table.note(`${STREAMS} streams of ${tokens} tokens`);
      let relayed = 0;
      const used = await usedBy(fleet, idle, async () => {
        relayed = await streamTurns(caller, fleet, runners, index + 2, tokens);
      });
      const add = (name, value) => table.add(name, 'ms', 'token', relayed, value);
      add('token-entry-processor', used.entryMs);
      add('token-home-processor', used.homeMs);
    }
  });
}

/** Runs turns at an even pace, those of one program one after the other; returns the seconds. */
async function runAtPace(runners, rate) {
  const startedAt = performance.now();
  const last = runners.map(() => Promise.resolve());
  for (let index = 0; index < (rate * RATE_SPAN_MS) / SECOND_MS; index += 1) {
    const due = startedAt + (index * SECOND_MS) / rate;
    if (due > performance.now()) await usage.pause(due - performance.now());
    const place = index % runners.length;
    last[place] = last[place].then(() => runners[place].turn('hello'));
  }
  await Promise.all(last);
  return (performance.now() - startedAt) / SECOND_MS;
}

/** Records an append and appends a second by rate of turns, at an even pace. */
export async function measureAppends(table) {
  await withFleet(async (fleet, caller) => {
    const opening = Array.from({ length: PACED_PROGRAMS }, (_, index) =>
      testKit.ProgramRunner.open(caller, () => fleet.vm(index % VMS)),
    );
    const runners = await Promise.all(opening);
    for (const rate of TURN_RATES) {
      table.note(`${rate} turns a second`);
      const before = await countAppends(fleet);
      const seconds = await runAtPace(runners, rate);
      const after = await countAppends(fleet);
      const turns = (rate * RATE_SPAN_MS) / SECOND_MS / seconds;
      const add = (name, unit, value) => table.add(name, unit, 'turn a second', turns, value);
      const appends = after.appends - before.appends;
      add('appends-by-rate', 'appends/s of the fleet', appends / seconds);
      add('batch-by-rate', 'records an append', (after.records - before.records) / appends);
    }
  });
}
