/** Measures the memory of programs with short and long histories, and of workspaces. */
import * as configuration from '@limpettack/configuration';
import * as testKit from '@limpettack/test-kit';

import * as fleets from './fleets.mjs';
import * as inspector from './Inspector.mjs';
import * as usage from './usage.mjs';

const VMS = 3;
const CONCURRENCY = 40;
const SHORT_PROGRAMS = [250, 500, 1_000, 2_000];
const LONG_PROGRAMS = 60;
const CHARACTERS = 20_000;
const LONG_TURNS = [1, 2, 3, 4];
const SHORT_TURNS = [10, 20, 30, 40];
const SHORT_TURN_PROGRAMS = 40;
const WORKSPACES = [325, 650, 1_300, 2_600];
const SETTLE_MS = 1_500;
const KIB = 1_024;
const ENGINE = { slots: 64, 'decode-ms-per-token': 0.2, 'prefill-ms-per-token': 0 };

async function sumReachableBytes(inspectors) {
  const bytes = await Promise.all(inspectors.map((connection) => connection.reachableBytes()));
  return usage.sum(bytes);
}

async function withFleet(measure) {
  const fleet = await fleets.startFleet({
    vms: VMS,
    engineOptions: ENGINE,
    environment: inspector.INSPECTED,
  });
  const inspectors = await Promise.all(fleet.vms.map((vm) => inspector.Inspector.open(vm)));
  try {
    await measure(fleet, inspectors);
  } finally {
    inspectors.forEach((connection) => connection.close());
    await fleet.dispose();
  }
}

/** Opens programs until there are `count`. */
async function openPrograms(fleet, runners, count) {
  const caller = fleets.createCaller();
  const missing = count - runners.length;
  await usage.runAll(missing, CONCURRENCY, async (index) => {
    runners.push(await testKit.ProgramRunner.open(caller, () => fleet.vm(index % VMS)));
  });
}

/** Runs turns until each program has `turns` turns. */
async function runTurns(runners, turns, text) {
  await usage.runAll(runners.length, CONCURRENCY, async (index) => {
    while (runners[index].turns < turns) await runners[index].turn(text);
  });
}

async function measureTurnMemory(table, name, plan, fleet, inspectors) {
  const runners = [];
  await openPrograms(fleet, runners, plan.programs);
  for (const turns of plan.turns) {
    table.note(`${name}: ${plan.programs} programs of ${turns} turns`);
    await runTurns(runners, turns, plan.text);
    await usage.pause(SETTLE_MS);
    const kib = (await sumReachableBytes(inspectors)) / plan.programs / KIB;
    table.add(name, 'KiB a program over owner and standby', plan.unit, plan.size(turns), kib);
  }
}

/** Measures memory by number of programs, by short turns and by characters of history. */
export async function measurePrograms(table) {
  await withFleet(async (fleet, inspectors) => {
    const runners = [];
    for (const count of SHORT_PROGRAMS) {
      table.note(`memory of ${count} programs`);
      await openPrograms(fleet, runners, count);
      await usage.pause(SETTLE_MS);
      const kib = (await sumReachableBytes(inspectors)) / KIB;
      table.add('program-memory', 'KiB over owner and standby', 'program', count, kib);
    }
    const short = {
      programs: SHORT_TURN_PROGRAMS,
      turns: SHORT_TURNS,
      text: 'hello',
      unit: 'turn',
    };
    const shortPlan = { ...short, size: (turns) => turns };
    await measureTurnMemory(table, 'turn-memory', shortPlan, fleet, inspectors);
    const text = 'history '.repeat(CHARACTERS / 8);
    const long = { programs: LONG_PROGRAMS, turns: LONG_TURNS, text, unit: '1,000 characters' };
    const longPlan = { ...long, size: (turns) => (turns * CHARACTERS) / 1_000 };
    await measureTurnMemory(table, 'history-memory', longPlan, fleet, inspectors);
  });
}

/** Measures memory by number of workspaces, each with a rate limit. */
export async function measureWorkspaces(table) {
  await withFleet(async (fleet, inspectors) => {
    for (const count of WORKSPACES) {
      table.note(`memory of ${count} workspaces`);
      const rows = fleet.targets.map((target) => target.row);
      const tables = configuration.TABLES.parse(fleets.createTables(rows, 1, count));
      await fleet.publish({ kind: configuration.CHANGE_KINDS.REPLACE_TABLES, tables });
      await usage.pause(SETTLE_MS);
      const kib = (await sumReachableBytes(inspectors)) / KIB / VMS;
      table.add('workspace-memory', 'KiB a VM', 'workspace', count, kib);
    }
  });
}
