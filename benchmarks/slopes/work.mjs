/** Processor time and appends of turns and of streamed tokens. */
import * as testKit from '@limpettack/test-kit';

import * as fleets from './fleets.mjs';
import * as usage from './usage.mjs';

const VMS = 3;
const PROGRAMS = 30;
const TURN_COUNTS = [300, 600, 900, 1_200];
const STREAMS = 30;
const TOKEN_COUNTS = [50, 100, 200, 400];
const TURN_RATES = [20, 40, 80, 160];
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

/** Processor time, appends and bytes by number of turns of 8 tokens, not streamed. */
export async function measureTurns(table) {
  await withFleet(async (fleet, caller) => {
    const runners = await openPrograms(fleet, caller);
    await usage.pause(SETTLE_MS);
    const idle = await usage.watchUsage(fleet, IDLE_MS, true);
    for (const count of TURN_COUNTS) {
      table.note(`${count} turns`);
      const appendsBefore = await countAppends(fleet);
      const work = () =>
        usage.runAll(PROGRAMS, PROGRAMS, async (index) => {
          for (let done = 0; done < count / PROGRAMS; done += 1) await runners[index].turn('hello');
        });
      const used = await usedBy(fleet, idle, work);
      const appends = await countAppends(fleet);
      const add = (name, unit, value) => table.add(name, unit, 'turn', count, value);
      add('turn-entry-processor', 'ms', used.entryMs);
      add('turn-home-processor', 'ms', used.homeMs);
      add('turn-records', 'records', appends.records - appendsBefore.records);
      add('turn-log-bytes', 'bytes', appends.bytes - appendsBefore.bytes);
    }
  });
}

/** Processor time by number of tokens that are streamed to callers. */
export async function measureTokens(table) {
  await withFleet(async (fleet, caller) => {
    const idle = await usage.watchUsage(fleet, IDLE_MS, true);
    for (const tokens of TOKEN_COUNTS) {
      table.note(`${STREAMS} streams of ${tokens} tokens`);
      let relayed = 0;
      const work = () =>
        usage.runAll(STREAMS, STREAMS, async () => {
          const stream = caller.stream(fleet.vm(0), { text: 'hello', maximumTokens: tokens });
          for await (const event of stream) if (testKit.textOfEvent(event) !== '') relayed += 1;
        });
      const used = await usedBy(fleet, idle, work);
      const add = (name, value) => table.add(name, 'ms', 'token', relayed, value);
      add('token-entry-processor', used.entryMs);
      add('token-home-processor', used.homeMs);
    }
  });
}

/** Records an append and appends a second by rate of turns, at an even pace. */
export async function measureAppends(table) {
  await withFleet(async (fleet, caller) => {
    for (const rate of TURN_RATES) {
      table.note(`${rate} calls a second`);
      const before = await countAppends(fleet);
      const startedAt = performance.now();
      const count = (rate * RATE_SPAN_MS) / SECOND_MS;
      const calls = [];
      for (let index = 0; index < count; index += 1) {
        const due = startedAt + (index * SECOND_MS) / rate;
        if (due > performance.now()) await usage.pause(due - performance.now());
        calls.push(caller.chat(fleet.vm(index % VMS), { text: 'hello' }));
      }
      const answers = await Promise.all(calls);
      const seconds = (performance.now() - startedAt) / SECOND_MS;
      const after = await countAppends(fleet);
      const served = answers.filter((answer) => answer.status === 200).length / seconds;
      const add = (name, unit, value) => table.add(name, unit, 'call a second', served, value);
      const appends = after.appends - before.appends;
      add('appends-by-rate', 'appends/s of the fleet', appends / seconds);
      add('batch-by-rate', 'records an append', (after.records - before.records) / appends);
    }
  });
}
