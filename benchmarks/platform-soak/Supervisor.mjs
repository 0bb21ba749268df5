import * as fs from 'node:fs';
import * as timers from 'node:timers/promises';
import * as verdictsModule from '../soak/Verdicts.mjs';

const { PROMISES } = verdictsModule;
const SAMPLE_INTERVAL_MS = 100;
const RESTART_DELAY_MS = 300;
const KILOBYTES_PER_MEGABYTE = 1_024;

/** So many ends of a process, on a share of the VMs and on two at least, count as an outage. */
const ENDS_OF_OUTAGE = 3;
const VM_SHARE_OF_OUTAGE = 0.1;
const MINIMUM_VMS_OF_OUTAGE = 2;

/**
 * Supervises processes as the users' platform does: kills those whose resident memory exceeds the
 * limit and restarts those that end without a fault. Each such end is a violation.
 */
export class Supervisor {
  constructor({ events, fleet, verdicts }) {
    Object.assign(this, { events, fleet, verdicts });
    this.endsByVm = new Map();
    this.highestMb = 0;
    this.startedAt = Date.now();
  }

  start() {
    this.timer = globalThis.setInterval(
      () => this.fleet.vms.forEach((vm) => this.sample(vm)),
      SAMPLE_INTERVAL_MS,
    );
  }

  /** Records the end of a process that no fault has ended, and restarts it after a pause. */
  async handleExit(vm, detail) {
    const { child } = vm;
    const ends = (this.endsByVm.get(vm) ?? 0) + 1;
    this.endsByVm.set(vm, ends);
    const { exceededMb, highestMb = 0, startedAt } = child;
    const reason = exceededMb === undefined ? 'ended by itself' : `used ${exceededMb} MB`;
    const lifetime = `${Date.now() - startedAt} ms after its start, at most ${highestMb} MB`;
    this.events.push(`${Date.now() - this.startedAt} ms: ${vm.name} ${reason}, ${lifetime}`);
    const promise = exceededMb === undefined ? PROMISES.PROCESSES : PROMISES.MEMORY;
    this.verdicts.check(promise, false, `${vm.name} ${reason}, ${lifetime}: ${detail}`);
    await timers.setTimeout(RESTART_DELAY_MS);
    if (this.timer !== undefined && vm.child === child) this.fleet.spawn(vm);
  }

  /** Stops the supervision and records the figures. Must be called before the fleet is disposed. */
  dispose() {
    globalThis.clearInterval(this.timer);
    this.timer = undefined;
    const { endsByVm, fleet, highestMb, verdicts } = this;
    verdicts.check(PROMISES.MEMORY, true);
    verdicts.figures.set('highest resident memory in MB', highestMb);
    const affected = [...endsByVm.values()].filter((ends) => ends >= ENDS_OF_OUTAGE).length;
    const share = Math.ceil(fleet.vms.length * VM_SHARE_OF_OUTAGE);
    const isOutage = affected >= Math.max(MINIMUM_VMS_OF_OUTAGE, share);
    verdicts.figures.set('VMs that ended three times by themselves', affected);
    if (isOutage) verdicts.figures.set('outage of processes', 1);
  }

  sample({ child }) {
    const residentMb = readResidentMb(child.pid);
    child.highestMb = Math.max(child.highestMb ?? 0, residentMb);
    this.highestMb = Math.max(this.highestMb, residentMb);
    if (residentMb <= this.fleet.memoryMb || child.isExitExpected) return;
    child.exceededMb = residentMb;
    child.kill('SIGKILL');
  }
}

/** Returns 0 for a process that has ended. */
function readResidentMb(pid) {
  try {
    const status = fs.readFileSync(`/proc/${pid}/status`, 'utf8');
    const [, kilobytes = '0'] = /^VmRSS:\s+(\d+)/m.exec(status) ?? [];
    return Math.round(Number(kilobytes) / KILOBYTES_PER_MEGABYTE);
  } catch {
    return 0;
  }
}
