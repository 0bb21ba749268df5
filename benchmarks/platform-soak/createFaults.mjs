import * as childProcess from 'node:child_process';
import * as path from 'node:path';
import * as timers from 'node:timers/promises';
import * as util from 'node:util';
import * as keyedLog from '@limpettack/keyed-log';
import * as verdictsModule from '../soak/Verdicts.mjs';
import * as processFleet from './ProcessFleet.mjs';

const { UNAVAILABLE } = keyedLog.LOG_FAILURES;

const NESTING = 1_000;

const BUILD = path.join(import.meta.dirname, '..', '..', 'platform', 'build.mjs');

/** Chunks of a response that never ends: content, events, header lines after the last chunk. */
const ENDLESS = ['1\r\nx\r\n', 'b\r\ndata: x\n\n\r\n', '0\r\na:\r\n'];

const execute = util.promisify(childProcess.execFile);

/** Entries that name no target. */
const TARGET = { Service: 'streams', Zone: 'zone-1', Slots: 8, State: 'ready', Seq: 1, born: 1 };
const UNUSABLE = [
  { ...TARGET, Address: '127.0.0.1:65536' },
  { ...TARGET, Address: '127.0.0.1:0' },
  { ...TARGET, Address: '300.0.0.1:80' },
  { ...TARGET, Address: '127.0.0.1:80', Slots: 1e300, born: 1e300 },
  { ...TARGET, Address: ['127.0.0.1:80'], Seq: null },
  Array.from({ length: NESTING }).reduce((inner) => [inner], 'text'),
  null,
];

/**
 * Returns the faults of a run by name. Each function injects its fault, waits and removes the fault
 * again. A VM has at most one fault of its process at a time.
 */
export function createFaults(collaborators) {
  const { configure, engines, fleet, log, random, traffic, verdicts, write } = collaborators;
  const chooseDuration = (minimum, maximum) => Math.round(random.between(minimum, maximum));
  const withVm = async (injectFault) => {
    const vm = random.pick(fleet.vms);
    if (vm.hasFault) return;
    vm.hasFault = true;
    await injectFault(vm);
    vm.hasFault = false;
  };
  const during = async (durationMs, setFault) => {
    setFault(true);
    await timers.setTimeout(durationMs);
    setFault(false);
  };
  return {
    kill: () => withVm((vm) => fleet.kill(vm, chooseDuration(50, 800))),
    freeze: () => withVm((vm) => processFleet.freeze(vm, chooseDuration(200, 2_000))),
    reload: () => processFleet.reload(random.pick(fleet.vms)),
    'port taken': () => withVm((vm) => fleet.restartWithTakenPort(vm, chooseDuration(100, 2_000))),
    stop: () =>
      withVm(async (vm) => {
        const failure = await processFleet.stop(vm);
        const detail = `${vm.name} did not shut down cleanly: ${failure}`;
        verdicts.check(verdictsModule.PROMISES.PROCESSES, failure === undefined, detail);
        fleet.spawn(vm);
      }),
    'power lost': async () => {
      const available = fleet.vms.filter(({ hasFault }) => !hasFault);
      available.forEach((vm) => {
        vm.hasFault = true;
      });
      const downMs = chooseDuration(50, 600);
      await Promise.all(available.map((vm) => fleet.kill(vm, downMs)));
      available.forEach((vm) => {
        vm.hasFault = false;
      });
    },
    'store down': () =>
      during(chooseDuration(300, 2_500), (isOn) => {
        log.outage = isOn ? UNAVAILABLE : undefined;
      }),
    'answers of the store lost': () =>
      during(chooseDuration(100, 1_000), (isOn) => {
        log.losesAnswers = isOn;
      }),
    'store turns a VM away': () => {
      const { store } = random.pick(fleet.vms);
      return during(chooseDuration(300, 3_000), (isOn) => {
        store.turnsAwayWith = isOn ? 503 : undefined;
      });
    },
    'store silent for a VM': () => {
      const { store } = random.pick(fleet.vms);
      return during(chooseDuration(300, 2_000), (isOn) => {
        store.isSilent = isOn;
      });
    },
    'history dropped': async () => {
      ['programs', 'kept-turns', 'status', 'op', 'servers'].forEach((topic) => {
        for (let partition = 0; partition < 4; partition += 1) {
          log.compact({ topic: `keyed.${topic}`, partition });
        }
      });
    },
    'connections of a target reset': async () => random.pick(engines).resetConnections(),
    'target silent': () => {
      const engine = random.pick(engines);
      return during(chooseDuration(200, 1_500), (isOn) => {
        engine.isSilent = isOn;
      });
    },
    'target sends without end': () => {
      const engine = random.pick(engines);
      const text = random.pick(ENDLESS);
      return during(chooseDuration(200, 1_500), (isOn) => {
        engine.endlessText = isOn ? text : undefined;
      });
    },
    'store sends without end to a VM': () => {
      const { store } = random.pick(fleet.vms);
      return during(chooseDuration(200, 1_500), (isOn) => {
        store.isEndless = isOn;
      });
    },
    'build beside starts': () => execute(process.execPath, [BUILD]),
    'tables change': () => configure(),
    'reloads in series': async () => {
      const count = random.integer(2, 8);
      for (let index = 0; index < count; index += 1) {
        await Promise.all(fleet.vms.map((vm) => processFleet.rewriteSettings(vm, index)));
        await timers.setTimeout(chooseDuration(1, 300));
      }
    },
    burst: () => traffic.burst(random.between(2, 5), chooseDuration(1_000, 4_000)),
    'slow readers': () => traffic.readSlowly(random.integer(10, 50), chooseDuration(1_000, 5_000)),
    'unusable targets': () =>
      Promise.all(UNUSABLE.map((entry, index) => write('servers', `unusable-${index}`, entry))),
  };
}
