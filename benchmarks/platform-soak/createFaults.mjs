import * as timers from 'node:timers/promises';
import * as keyedLog from '@limpettack/keyed-log';
import * as verdictsModule from '../soak/Verdicts.mjs';
import * as processFleet from './ProcessFleet.mjs';

const { UNAVAILABLE } = keyedLog.LOG_FAILURES;

/**
 * The faults of a run: each is a name with a function that makes it, waits and ends it. A VM has
 * one fault of its process at a time.
 */
export function createFaults({ configure, engines, fleet, log, random, verdicts }) {
  const span = (least, most) => Math.round(random.between(least, most));
  const withVm = async (use) => {
    const vm = random.pick(fleet.vms);
    if (vm.busy) return;
    vm.busy = true;
    await use(vm);
    vm.busy = false;
  };
  const during = async (spanMs, set) => {
    set(true);
    await timers.setTimeout(spanMs);
    set(false);
  };
  return {
    kill: () => withVm((vm) => fleet.kill(vm, span(50, 800))),
    freeze: () => withVm((vm) => processFleet.freeze(vm, span(200, 2_000))),
    stop: () =>
      withVm(async (vm) => {
        const failure = await processFleet.stop(vm);
        const detail = `${vm.name} did not end in order: ${failure}`;
        verdicts.check(verdictsModule.PROMISES.PROCESSES, failure === undefined, detail);
        fleet.spawn(vm);
      }),
    'power lost': async () => {
      const idle = fleet.vms.filter(({ busy }) => !busy);
      idle.forEach((vm) => {
        vm.busy = true;
      });
      const downMs = span(50, 600);
      await Promise.all(idle.map((vm) => fleet.kill(vm, downMs)));
      idle.forEach((vm) => {
        vm.busy = false;
      });
    },
    'store down': () =>
      during(span(300, 2_500), (isOn) => {
        log.outage = isOn ? UNAVAILABLE : undefined;
      }),
    'answers of the store lost': () =>
      during(span(100, 1_000), (isOn) => {
        log.losesAnswers = isOn;
      }),
    'store turns a VM away': () => {
      const { store } = random.pick(fleet.vms);
      return during(span(300, 3_000), (isOn) => {
        store.turnsAwayWith = isOn ? 503 : undefined;
      });
    },
    'store silent for a VM': () => {
      const { store } = random.pick(fleet.vms);
      return during(span(300, 2_000), (isOn) => {
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
      return during(span(200, 1_500), (isOn) => {
        engine.isSilent = isOn;
      });
    },
    'tables change': () => configure(),
  };
}
