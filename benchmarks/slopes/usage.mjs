/** What the VM processes of a fleet use: processor time, memory and bytes on their links. */
import * as fs from 'node:fs';

const NANOSECONDS_PER_MS = 1e6;
const KIB = 1_024;

/** A pause of so many milliseconds. */
export function pause(spanMs) {
  return new Promise((resolve) => {
    setTimeout(resolve, spanMs);
  });
}

/** Processor time of all threads of a process, in milliseconds. */
export function processorMs(pid) {
  const tasks = fs.readdirSync(`/proc/${pid}/task`);
  const spans = tasks.map((task) =>
    Number(fs.readFileSync(`/proc/${pid}/task/${task}/schedstat`, 'utf8').split(' ')[0]),
  );
  return spans.reduce((total, span) => total + span, 0) / NANOSECONDS_PER_MS;
}

/** Resident memory of a process in bytes. */
export function residentBytes(pid) {
  const status = fs.readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/VmRSS:\s+(\d+)/.exec(status)[1]) * KIB;
}

/** The sum of values. */
export function sum(values) {
  return values.reduce((total, value) => total + value, 0);
}

/** What a fleet has used up to now; the links are counted when they go through proxies. */
export function readUsage(fleet, hasProxies) {
  const spans = fleet.vms.map((vm) => processorMs(vm.process.pid));
  const peers = hasProxies ? sum(fleet.vms.map((vm) => vm.peersProxy.forwardedBytes)) : 0;
  const platform = hasProxies ? sum(fleet.vms.map((vm) => vm.platformProxy.forwardedBytes)) : 0;
  return { at: performance.now(), spans, peers, platform };
}

/** The use between two readings: milliseconds a VM, bytes of all links, and the time between. */
export function usedBetween(before, after) {
  return {
    spanMs: after.at - before.at,
    spans: after.spans.map((span, index) => span - before.spans[index]),
    totalMs: sum(after.spans) - sum(before.spans),
    peers: after.peers - before.peers,
    platform: after.platform - before.platform,
  };
}

/** The use of a fleet over a span of milliseconds. */
export async function watchUsage(fleet, spanMs, hasProxies) {
  const before = readUsage(fleet, hasProxies);
  await pause(spanMs);
  return usedBetween(before, readUsage(fleet, hasProxies));
}

/** Runs tasks, so many at a time, in the order of their indices. */
export async function runAll(count, atOnce, task) {
  let next = 0;
  async function work() {
    while (next < count) {
      const index = next;
      next += 1;
      await task(index);
    }
  }
  await Promise.all(Array.from({ length: Math.min(atOnce, count) }, work));
}
