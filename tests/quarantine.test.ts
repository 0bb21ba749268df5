import * as testKit from '@limpettack/test-kit';
import * as jestGlobals from '@jest/globals';
import * as fleetViews from './fleetViews.js';

const { afterAll, beforeAll, describe, expect, test } = jestGlobals;

const { KEY, MODEL_ROUTE } = testKit.FLEET_NAMES;

const ENGINES = 5;
const MAXIMUM_CRASHES = 2;
const POISON = 'grave 113 of the torn register';
const TRIES = 6;
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
  await Promise.all(fleet.targets.map(({ target }) => target.setFaults({ crashOnText: POISON })));
  await fleetViews.untilPaired(fleet);
});

afterAll(() => fleet.dispose());

function crashedEngines(): number {
  return fleet.targets.filter(({ target }) => !target.process.isRunning).length;
}

function sendPoison(vm: testKit.FleetVm, program?: string): Promise<testKit.CallerAnswer> {
  const place = program === undefined ? {} : { program, turn: 1 };
  return caller.chat(vm, { text: POISON, deadlineMs: CALL_DEADLINE_MS, ...place });
}

describe('a request that crashes each target it reaches', () => {
  test('crashes at most two, however often its caller sends it, and is refused', async () => {
    const pick = fleetViews.pickInTurn(fleet.vms);
    const answers: testKit.CallerAnswer[] = [];
    for (let count = 0; count < TRIES; count += 1) answers.push(await sendPoison(pick()));
    expect(answers.map((answer) => answer.status)).not.toContain(200);
    const last = answers.slice(-3).map((answer) => testKit.refusalOf(answer).kind);
    expect(last).toEqual(last.map(() => 'request-quarantined'));
    expect(crashedEngines()).toBeLessThanOrEqual(MAXIMUM_CRASHES);
  });

  test('is refused from other programs through each VM', async () => {
    const answers = await Promise.all(
      fleet.vms.map(async (vm) => sendPoison(vm, await caller.openProgram(vm))),
    );
    expect(answers.map((answer) => testKit.refusalOf(answer))).toEqual(
      answers.map(() => expect.objectContaining({ kind: 'request-quarantined', run: 'not-run' })),
    );
    expect(crashedEngines()).toBeLessThanOrEqual(MAXIMUM_CRASHES);
  });

  test('is still refused after a VM was killed and started again', async () => {
    await fleet.vm(0).restart();
    await fleetViews.untilPaired(fleet);
    const answer = await sendPoison(fleet.vm(0));
    expect(testKit.refusalOf(answer).kind).toBe('request-quarantined');
    expect(crashedEngines()).toBeLessThanOrEqual(MAXIMUM_CRASHES);
  });

  test('takes no other request with it', async () => {
    const texts = ['grave 114', 'grave 115', 'grave 116'];
    const answers = await Promise.all(
      texts.map((text, index) => caller.chat(fleet.vm(index), { text })),
    );
    expect(answers.map((answer) => answer.status)).toEqual([200, 200, 200]);
  });
});
