/** Measures the time of a takeover after an owner is killed, and of the replay at a cold start. */
import * as testKit from '@limpettack/test-kit';
import * as undici from 'undici';

import * as fleets from './fleets.mjs';
import * as usage from './usage.mjs';

const VMS = 3;
const PROGRAMS = [50, 400, 800, 1_200];
const CONCURRENCY = 40;
/** Enough programs to cover all shards, so that the slowest of them shows the last takeover. */
const PROBED_PROGRAMS = 40;
const CHARACTERS = 4_000;
const COLD_START_TIMEOUT_MS = 60_000;
const ENGINE = { slots: 64, 'decode-ms-per-token': 0.2, 'prefill-ms-per-token': 0 };

async function readGauge(vm, name) {
  const response = await undici.request(`${vm.operatorsUrl}/metrics`);
  const text = await response.body.text();
  return Number(new RegExp(`^${name} (\\d+)`, 'm').exec(text)?.[1] ?? 0);
}

async function readGauges(fleet, name) {
  const running = fleet.vms.filter((vm) => vm.process.isRunning);
  return Promise.all(running.map((vm) => readGauge(vm, name)));
}

async function openPrograms(fleet, runners, count) {
  const caller = fleets.createCaller();
  const text = 'history '.repeat(CHARACTERS / 8);
  const pickVm = () => fleet.vms.find((vm) => vm.process.isRunning);
  await usage.runAll(count - runners.length, CONCURRENCY, async () => {
    const runner = await testKit.ProgramRunner.open(caller, pickVm);
    await runner.turn(text);
    runners.push(runner);
  });
}

/** Kills the VM with the most shards. Returns the ms until all probed programs continue. */
async function measureTakeover(fleet, runners) {
  const counts = await readGauges(fleet, 'limpettack_owned_shards');
  const victim = fleet.vm(counts.indexOf(Math.max(...counts)));
  const startedAt = performance.now();
  victim.process.kill('SIGKILL');
  await victim.process.exited;
  await Promise.all(runners.slice(0, PROBED_PROGRAMS).map((runner) => runner.turn('go on')));
  const durationMs = performance.now() - startedAt;
  await victim.start();
  await fleets.waitForStandbys(fleet);
  return durationMs;
}

/** Kills all VMs and starts them. Returns the time until owners hold all programs again, in ms. */
async function measureColdStart(fleet, programs) {
  fleet.vms.forEach((vm) => vm.process.kill('SIGKILL'));
  await Promise.all(fleet.vms.map((vm) => vm.process.exited));
  const startedAt = performance.now();
  await Promise.all(fleet.vms.map((vm) => vm.start()));
  await testKit.waitFor(
    async () => usage.sum(await readGauges(fleet, 'limpettack_programs')) >= programs,
    { what: 'owners of all programs', timeoutMs: COLD_START_TIMEOUT_MS, intervalMs: 50 },
  );
  return performance.now() - startedAt;
}

/** Measures takeover and cold start by number of programs with a history of 4,000 characters. */
export async function measureTakeovers(table) {
  const fleet = await fleets.startFleet({ vms: VMS, engineOptions: ENGINE });
  const runners = [];
  try {
    for (const count of PROGRAMS) {
      table.note(`takeover with ${count} programs`);
      await openPrograms(fleet, runners, count);
      const add = (name, unit, value) => table.add(name, unit, 'program held', count, value);
      add('takeover', 'ms', await measureTakeover(fleet, runners));
      add('cold-start', 'ms', await measureColdStart(fleet, count));
      const { processorMsByVm } = usage.readUsage(fleet, false);
      add('replay-processor', 'ms of the fleet, start included', usage.sum(processorMsByVm));
      await fleets.waitForStandbys(fleet);
    }
  } finally {
    await fleet.dispose();
  }
}
