/** Time until another VM answers after an owner was killed, and until a cold start has replayed. */
import * as testKit from '@limpettack/test-kit';
import * as undici from 'undici';

import * as fleets from './fleets.mjs';
import * as usage from './usage.mjs';

const VMS = 3;
const PROGRAMS = [50, 400, 800, 1_200];
const AT_ONCE = 40;
/** Programs that lie in all shards, so that the last of them waits for the last takeover. */
const ASKED_PROGRAMS = 40;
const CHARACTERS = 4_000;
const LIMIT_MS = 60_000;
const ENGINE = { slots: 64, 'decode-ms-per-token': 0.2, 'prefill-ms-per-token': 0 };

async function readGauge(vm, name) {
  const answer = await undici.request(`${vm.operatorsUrl}/metrics`);
  const text = await answer.body.text();
  return Number(new RegExp(`^${name} (\\d+)`, 'm').exec(text)?.[1] ?? 0);
}

async function readAll(fleet, name) {
  const running = fleet.vms.filter((vm) => vm.process.isRunning);
  return Promise.all(running.map((vm) => readGauge(vm, name)));
}

async function holdUpTo(fleet, runners, count) {
  const caller = fleets.createCaller();
  const text = 'history '.repeat(CHARACTERS / 8);
  const pickVm = () => fleet.vms.find((vm) => vm.process.isRunning);
  await usage.runAll(count - runners.length, AT_ONCE, async () => {
    const runner = await testKit.ProgramRunner.open(caller, pickVm);
    await runner.turn(text);
    runners.push(runner);
  });
}

/** Kills the VM with most shards; returns the time until programs of all shards went on, in ms. */
async function timeTakeover(fleet, runners) {
  const counts = await readAll(fleet, 'limpettack_owned_shards');
  const victim = fleet.vm(counts.indexOf(Math.max(...counts)));
  const startedAt = performance.now();
  victim.process.kill('SIGKILL');
  await victim.process.exited;
  await Promise.all(runners.slice(0, ASKED_PROGRAMS).map((runner) => runner.turn('go on')));
  const spanMs = performance.now() - startedAt;
  await victim.start();
  await fleets.untilPaired(fleet);
  return spanMs;
}

/** Kills all VMs and starts them; returns the time until owners hold all programs again, in ms. */
async function timeColdStart(fleet, programs) {
  fleet.vms.forEach((vm) => vm.process.kill('SIGKILL'));
  await Promise.all(fleet.vms.map((vm) => vm.process.exited));
  const startedAt = performance.now();
  await Promise.all(fleet.vms.map((vm) => vm.start()));
  await testKit.waitFor(
    async () => usage.sum(await readAll(fleet, 'limpettack_programs')) >= programs,
    { what: 'owners of all programs', timeoutMs: LIMIT_MS, intervalMs: 50 },
  );
  return performance.now() - startedAt;
}

/** Takeover and cold start by number of programs with a history of 4,000 characters. */
export async function measureTakeovers(table) {
  const fleet = await fleets.startFleet({ vms: VMS, engineOptions: ENGINE });
  const runners = [];
  try {
    for (const count of PROGRAMS) {
      table.note(`takeover with ${count} programs`);
      await holdUpTo(fleet, runners, count);
      const add = (name, unit, value) => table.add(name, unit, 'program held', count, value);
      add('takeover', 'ms', await timeTakeover(fleet, runners));
      add('cold-start', 'ms', await timeColdStart(fleet, count));
      const { spans } = usage.readUsage(fleet, false);
      add('replay-processor', 'ms of the fleet, start included', usage.sum(spans));
      await fleets.untilPaired(fleet);
    }
  } finally {
    await fleet.dispose();
  }
}
