import type * as clock from '@limpettack/clock';
import type * as testKit from '@limpettack/test-kit';

import type { Scenario, ScenarioFault } from './scenarios.js';

/** Injects the faults of a scenario. Their times are relative to the call of this function. */
export async function injectFaults(
  scenario: Scenario,
  fleet: testKit.Fleet,
  time: clock.Clock,
): Promise<void> {
  await Promise.all(
    scenario.faults.map(async (fault) => {
      await time.sleep(fault.atMs);
      await injectFault(fault, fleet, time);
    }),
  );
}

async function injectFault(
  fault: ScenarioFault,
  fleet: testKit.Fleet,
  time: clock.Clock,
): Promise<void> {
  if (fault.kind === 'kill-vm') {
    const vm = fleet.vms.find(({ name }) => name === fault.name);
    if (vm === undefined) throw new Error(`There is no VM ${fault.name}`);
    vm.process.kill('SIGKILL');
    return;
  }
  const { target } = fleet.target(fault.name);
  if (fault.kind === 'kill-target') {
    target.process.kill('SIGKILL');
    return;
  }
  await target.setFaults({ hang: true });
  await time.sleep(fault.durationMs);
  await target.setFaults({ hang: false });
}
