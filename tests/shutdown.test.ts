import * as jestGlobals from '@jest/globals';
import * as testKit from '@limpettack/test-kit';

const { afterAll, beforeAll, describe, expect, test } = jestGlobals;

const CALLERS = 6;

let fleet: testKit.Fleet;
const caller = new testKit.Caller(testKit.FLEET_NAMES.KEY, testKit.FLEET_NAMES.MODEL_ROUTE);

beforeAll(async () => {
  fleet = await testKit.startFleet({
    vms: 3,
    failureDomains: ['kochi', 'thrissur', 'kottayam'],
    engines: 2,
    engineOptions: { 'decode-ms-per-token': 10 },
    settings: { journal: { shardCount: 6 }, shutdown: { drainDelayMs: 500 } },
  });
});

afterAll(() => fleet.dispose());

/** Returns the VMs that a load balancer would use: those whose readiness check succeeds. */
async function listReadyVms(): Promise<testKit.FleetVm[]> {
  const readyStates = await Promise.all(
    fleet.vms.map(async (vm) => {
      const response = await caller.send(vm, 'GET', '/readyz', { timeoutMs: 300 });
      return response.status === 200;
    }),
  );
  return fleet.vms.filter((_, index) => readyStates[index]);
}

/**
 * Runs turns through ready VMs until `isStopped` returns true. Returns the responses with a status
 * other than 200.
 */
async function runCaller(index: number, isStopped: () => boolean): Promise<string[]> {
  const failures: string[] = [];
  const program = await caller.openProgram(fleet.vm(index % fleet.vms.length));
  for (let turn = 1; !isStopped(); turn += 1) {
    const ready = await listReadyVms();
    const vm = ready[(index + turn) % ready.length];
    if (vm === undefined) throw new Error('No VM is ready');
    const callOptions = { program, turn, text: `turn ${turn}`, maximumTokens: 40 };
    const response = await caller.chat(vm, callOptions);
    if (response.status !== 200) failures.push(`${vm.name}: ${response.status} ${response.text}`);
  }
  return failures;
}

describe('a graceful shutdown', () => {
  test('of each VM in turn interrupts and refuses no request', async () => {
    let stopped = false;
    const running = Array.from({ length: CALLERS }, (_, index) => runCaller(index, () => stopped));
    for (const vm of fleet.vms) {
      vm.process.kill('SIGTERM');
      const exit = await vm.process.exited;
      expect(exit.code).toBe(0);
      await vm.start();
      await fleet.untilReady();
    }
    stopped = true;
    const failures = (await Promise.all(running)).flat();
    expect(failures).toEqual([]);
  });
});
