/**
 * Starts a fleet of VMs that run the platform's program, without callers, and prints the cost of a
 * VM: processor time during startup and afterwards, memory, open files, and calls to the store.
 *
 * npm run platform-cost -- --vms 40 [--span 15000] [--domains 6] [--profile DIRECTORY]
 */
import * as buffer from 'node:buffer';
import * as fs from 'node:fs/promises';
import * as timers from 'node:timers/promises';
import * as keyedLogTesting from '@limpettack/keyed-log/testing';
import * as cac from 'cac';
import * as processFleet from '../platform-soak/ProcessFleet.mjs';

const TARGETS = 47;
const HEARTBEAT_INTERVAL_MS = 1_200;
const TICKS_PER_SECOND = 100;
const KILOBYTES_PER_MEGABYTE = 1_024;

/** Returns processor time in seconds, resident memory in megabytes and open files of a process. */
async function readUsage(pid) {
  const stat = await fs.readFile(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const status = await fs.readFile(`/proc/${pid}/status`, 'utf8');
  return {
    seconds: (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND,
    megabytes: Number(/VmRSS:\s+(\d+)/.exec(status)[1]) / KILOBYTES_PER_MEGABYTE,
    files: (await fs.readdir(`/proc/${pid}/fd`)).length,
  };
}

function mean(values) {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Renews the entries of all targets in the `servers` topic until the signal aborts. */
async function sendHeartbeats(log, signal) {
  for (let sequence = 0; !signal.aborted; sequence += 1) {
    const target = sequence % TARGETS;
    const entry = {
      Service: 'engines',
      Address: `127.0.0.1:${20_000 + target}`,
      Zone: `zone-${target % 6}`,
      Slots: 6,
      State: 'ready',
      Seq: sequence,
      born: 1,
    };
    const record = { key: `i-${target}`, value: buffer.Buffer.from(JSON.stringify(entry)) };
    const identity = { producer: 'targets', sequence };
    await log.append({ topic: 'keyed.servers', partition: 0 }, [record], { identity });
    await timers.setTimeout(HEARTBEAT_INTERVAL_MS / TARGETS);
  }
}

async function main() {
  const { options } = cac.cac('platform-cost').parse();
  const log = new keyedLogTesting.MemoryKeyedLog();
  const fleet = new processFleet.ProcessFleet(log, (vm, detail) => console.log(vm.name, detail));
  fleet.failureDomainCount = Number(options.domains ?? 6);
  fleet.arguments = options.profile ? ['--cpu-prof', `--cpu-prof-dir=${options.profile}`] : [];
  const configuration = { Version: 1, Routes: [], Services: {}, Limits: {} };
  const heartbeats = new AbortController();
  sendHeartbeats(log, heartbeats.signal);
  try {
    await log.append(
      { topic: 'keyed.op', partition: 0 },
      [{ key: 'config', value: buffer.Buffer.from(JSON.stringify(configuration)) }],
      { identity: { producer: 'operators', sequence: 0 } },
    );
    for (let index = 0; index < Number(options.vms ?? 40); index += 1) {
      await fleet.addVm(`vm-${index + 1}`);
    }
    const readAllUsage = () => Promise.all(fleet.vms.map(({ child }) => readUsage(child.pid)));
    await timers.setTimeout(Number(options.settle ?? 10_000));
    const before = await readAllUsage();
    const countStoreCalls = () => fleet.vms.reduce((sum, { store }) => sum + store.callCount, 0);
    const callsBefore = countStoreCalls();
    const durationMs = Number(options.span ?? 15_000);
    await timers.setTimeout(durationMs);
    const after = await readAllUsage();
    const processorSeconds = after.map(({ seconds }, index) => seconds - before[index].seconds);
    const row = {
      vms: fleet.vms.length,
      'processor seconds until settled': mean(before.map(({ seconds }) => seconds)).toFixed(3),
      'core afterwards, mean': (mean(processorSeconds) / (durationMs / 1_000)).toFixed(4),
      'core afterwards, most': (Math.max(...processorSeconds) / (durationMs / 1_000)).toFixed(4),
      'memory in MB, mean': mean(after.map(({ megabytes }) => megabytes)).toFixed(1),
      'open files, mean': mean(after.map(({ files }) => files)).toFixed(0),
      'calls of the store a second, all VMs': (
        (countStoreCalls() - callsBefore) /
        (durationMs / 1_000)
      ).toFixed(1),
    };
    Object.entries(row).forEach(([name, value]) => console.log(`${name}: ${value}`));
    if (options.profile) fleet.vms[0].child.kill('SIGTERM');
    if (options.profile) await timers.setTimeout(6_000);
  } finally {
    heartbeats.abort();
    await fleet.dispose();
  }
}

await main();
