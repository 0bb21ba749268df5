/** Reads the usage of the VM processes of a fleet: processor time, memory and bytes on links. */
import * as fs from 'node:fs';

const NANOSECONDS_PER_MS = 1e6;
const KIB = 1_024;

/** Waits for `durationMs` milliseconds. */
export function pause(durationMs) {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

/** Returns the processor time of all threads of a process, in milliseconds. */
export function processorMs(pid) {
  const tasks = fs.readdirSync(`/proc/${pid}/task`);
  const nanoseconds = tasks.map((task) =>
    Number(fs.readFileSync(`/proc/${pid}/task/${task}/schedstat`, 'utf8').split(' ')[0]),
  );
  return nanoseconds.reduce((total, value) => total + value, 0) / NANOSECONDS_PER_MS;
}

/** Returns the resident memory of a process in bytes. */
export function residentBytes(pid) {
  const status = fs.readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/VmRSS:\s+(\d+)/.exec(status)[1]) * KIB;
}

export function sum(values) {
  return values.reduce((total, value) => total + value, 0);
}

/**
 * Returns the usage of a fleet since its start: processor time of each VM in milliseconds, and
 * bytes on the links to peers and to the platform. Without proxies the bytes are 0.
 */
export function readUsage(fleet, hasProxies) {
  const processorMsByVm = fleet.vms.map((vm) => processorMs(vm.process.pid));
  const peers = hasProxies ? sum(fleet.vms.map((vm) => vm.peersProxy.forwardedBytes)) : 0;
  const platform = hasProxies ? sum(fleet.vms.map((vm) => vm.platformProxy.forwardedBytes)) : 0;
  return { at: performance.now(), processorMsByVm, peers, platform };
}

/** Returns the usage between two readings, per VM and in total, and the time between them. */
export function usedBetween(before, after) {
  return {
    durationMs: after.at - before.at,
    processorMsByVm: after.processorMsByVm.map(
      (value, index) => value - before.processorMsByVm[index],
    ),
    totalMs: sum(after.processorMsByVm) - sum(before.processorMsByVm),
    peers: after.peers - before.peers,
    platform: after.platform - before.platform,
  };
}

/** Measures the usage of a fleet for `durationMs` milliseconds. */
export async function measureUsage(fleet, durationMs, hasProxies) {
  const before = readUsage(fleet, hasProxies);
  await pause(durationMs);
  return usedBetween(before, readUsage(fleet, hasProxies));
}

/** Runs `count` tasks in the order of their indices, at most `concurrency` at a time. */
export async function runAll(count, concurrency, task) {
  let next = 0;
  async function worker() {
    while (next < count) {
      const index = next;
      next += 1;
      await task(index);
    }
  }
  await Promise.all(Array.from({ length: Math.min(concurrency, count) }, worker));
}
