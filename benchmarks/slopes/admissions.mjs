/** What one admission costs: requests that are admitted, against the like that need no admission. */
import * as fleets from './fleets.mjs';
import * as usage from './usage.mjs';

const VMS = 3;
const COUNTS = [400, 800, 1_200, 1_600];
const AT_ONCE = 20;
const IDLE_MS = 3_000;
const SETTLE_MS = 300;
/** A well-formed program that nobody has opened. */
const NO_PROGRAM_PATTERN = /[0-9A-HJKMNP-TV-Z]{4}$/;

async function usedBy(fleet, idle, count, send) {
  const before = usage.readUsage(fleet, true);
  await usage.runAll(count, AT_ONCE, send);
  await usage.pause(SETTLE_MS);
  const used = usage.usedBetween(before, usage.readUsage(fleet, true));
  const share = used.spanMs / idle.spanMs;
  return { totalMs: used.totalMs - idle.totalMs * share, peers: used.peers - idle.peers * share };
}

/** Processor time of the fleet and bytes between peers for each admission. */
export async function measureAdmissions(table) {
  const fleet = await fleets.startFleet({ vms: VMS, proxies: { peers: true, platform: true } });
  try {
    const caller = fleets.createCaller();
    const opened = await caller.openProgram(fleet.vm(0));
    const parent = opened.replace(NO_PROGRAM_PATTERN, 'ZZZZ');
    const body = JSON.stringify({ route: fleets.ROUTE, parent });
    const withAdmission = (index) =>
      caller.send(fleet.vm(index % VMS), 'POST', '/v1/programs', { body });
    const withoutAdmission = (index) =>
      caller.send(fleet.vm(index % VMS), 'GET', `/v1/programs/${parent}`);
    await usage.runAll(COUNTS[0], AT_ONCE, withAdmission);
    await usage.runAll(COUNTS[0], AT_ONCE, withoutAdmission);
    const idle = await usage.watchUsage(fleet, IDLE_MS, true);
    for (const count of COUNTS) {
      table.note(`${count} admissions`);
      const plain = await usedBy(fleet, idle, count, withoutAdmission);
      const admitted = await usedBy(fleet, idle, count, withAdmission);
      const add = (name, unit, value) => table.add(name, unit, 'admission', count, value);
      add('request-processor', 'ms of the fleet', plain.totalMs);
      add('admission-processor', 'ms of the fleet', admitted.totalMs - plain.totalMs);
      add('admission-bytes', 'bytes between peers', admitted.peers - plain.peers);
    }
  } finally {
    await fleet.dispose();
  }
}
