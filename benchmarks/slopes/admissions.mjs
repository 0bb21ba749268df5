/** Measures the cost of an admission: requests with an admission compared with requests without. */
import * as fleets from './fleets.mjs';
import * as usage from './usage.mjs';

const VMS = 3;
const COUNTS = [400, 800, 1_200, 1_600];
const CONCURRENCY = 20;
const IDLE_MS = 3_000;
const SETTLE_MS = 300;
/** End of a program id. Replacing it gives a well-formed id of a program that was never opened. */
const PROGRAM_ID_END_PATTERN = /[0-9A-HJKMNP-TV-Z]{4}$/;

/** Returns the usage of `count` requests, less the usage of an idle fleet in the same time. */
async function measureUsage(fleet, idle, count, send) {
  const before = usage.readUsage(fleet, true);
  await usage.runAll(count, CONCURRENCY, send);
  await usage.pause(SETTLE_MS);
  const used = usage.usedBetween(before, usage.readUsage(fleet, true));
  const share = used.durationMs / idle.durationMs;
  return { totalMs: used.totalMs - idle.totalMs * share, peers: used.peers - idle.peers * share };
}

/** Measures processor time of the fleet and bytes between peers by number of admissions. */
export async function measureAdmissions(table) {
  const fleet = await fleets.startFleet({ vms: VMS, proxies: { peers: true, platform: true } });
  try {
    const caller = fleets.createCaller();
    const opened = await caller.openProgram(fleet.vm(0));
    const parent = opened.replace(PROGRAM_ID_END_PATTERN, 'ZZZZ');
    const body = JSON.stringify({ route: fleets.ROUTE, parent });
    const withAdmission = (index) =>
      caller.send(fleet.vm(index % VMS), 'POST', '/v1/programs', { body });
    const withoutAdmission = (index) =>
      caller.send(fleet.vm(index % VMS), 'GET', `/v1/programs/${parent}`);
    await usage.runAll(COUNTS[0], CONCURRENCY, withAdmission);
    await usage.runAll(COUNTS[0], CONCURRENCY, withoutAdmission);
    const idle = await usage.measureUsage(fleet, IDLE_MS, true);
    for (const count of COUNTS) {
      table.note(`${count} admissions`);
      const plain = await measureUsage(fleet, idle, count, withoutAdmission);
      const admitted = await measureUsage(fleet, idle, count, withAdmission);
      const add = (name, unit, value) => table.add(name, unit, 'admission', count, value);
      add('request-processor', 'ms of the fleet', plain.totalMs);
      add('admission-processor', 'ms of the fleet', admitted.totalMs - plain.totalMs);
      add('admission-bytes', 'bytes between peers', admitted.peers - plain.peers);
    }
  } finally {
    await fleet.dispose();
  }
}
