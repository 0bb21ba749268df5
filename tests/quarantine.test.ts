import * as testKit from '@limpettack/test-kit';
import * as jestGlobals from '@jest/globals';
import * as fleetHelpers from './fleetHelpers.js';

const { afterAll, beforeAll, describe, expect, test } = jestGlobals;

const { KEY, MODEL_ROUTE } = testKit.FLEET_NAMES;

const ENGINES = 5;
const MAXIMUM_CRASHES = 2;
const CRASHING_TEXT = 'grave 113 of the torn register';
const ATTEMPTS = 6;
const CALL_DEADLINE_MS = 10_000;

const caller = new testKit.Caller(KEY, MODEL_ROUTE);
let fleet: testKit.Fleet;

beforeAll(async () => {
  fleet = await testKit.startFleet({
    vms: 3,
    failureDomains: ['kochi', 'thrissur', 'kottayam'],
    engines: ENGINES,
    settings: { journal: { shardCount: 6 } },
  });
  await Promise.all(
    fleet.targets.map(({ target }) => target.setFaults({ crashOnText: CRASHING_TEXT })),
  );
  await fleetHelpers.untilStandbysReady(fleet);
});

afterAll(() => fleet.dispose());

function countCrashedEngines(): number {
  return fleet.targets.filter(({ target }) => !target.process.isRunning).length;
}

function sendCrashingRequest(
  vm: testKit.FleetVm,
  program?: string,
): Promise<testKit.CallerResponse> {
  const callOptions = program === undefined ? {} : { program, turn: 1 };
  return caller.chat(vm, { text: CRASHING_TEXT, deadlineMs: CALL_DEADLINE_MS, ...callOptions });
}

describe('a request that crashes every target it reaches', () => {
  test('crashes at most two and is then refused, however often it is sent', async () => {
    const pick = fleetHelpers.createRoundRobinPicker(fleet.vms);
    const responses: testKit.CallerResponse[] = [];
    for (let count = 0; count < ATTEMPTS; count += 1)
      responses.push(await sendCrashingRequest(pick()));
    expect(responses.map((response) => response.status)).not.toContain(200);
    const last = responses.slice(-3).map((response) => testKit.refusalOf(response).kind);
    expect(last).toEqual(last.map(() => 'request-quarantined'));
    expect(countCrashedEngines()).toBeLessThanOrEqual(MAXIMUM_CRASHES);
  });

  test('is refused in other programs and on each VM', async () => {
    const responses = await Promise.all(
      fleet.vms.map(async (vm) => sendCrashingRequest(vm, await caller.openProgram(vm))),
    );
    expect(responses.map((response) => testKit.refusalOf(response))).toEqual(
      responses.map(() => expect.objectContaining({ kind: 'request-quarantined', run: 'not-run' })),
    );
    expect(countCrashedEngines()).toBeLessThanOrEqual(MAXIMUM_CRASHES);
  });

  test('is still refused after a VM was killed and restarted', async () => {
    await fleet.vm(0).restart();
    await fleetHelpers.untilStandbysReady(fleet);
    const response = await sendCrashingRequest(fleet.vm(0));
    expect(testKit.refusalOf(response).kind).toBe('request-quarantined');
    expect(countCrashedEngines()).toBeLessThanOrEqual(MAXIMUM_CRASHES);
  });

  test('does not cause the refusal of other requests', async () => {
    const texts = ['grave 114', 'grave 115', 'grave 116'];
    const responses = await Promise.all(
      texts.map((text, index) => caller.chat(fleet.vm(index), { text })),
    );
    expect(responses.map((response) => response.status)).toEqual([200, 200, 200]);
  });
});
