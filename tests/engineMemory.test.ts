import * as clock from '@limpettack/clock';
import * as testKit from '@limpettack/test-kit';
import * as jestGlobals from '@jest/globals';
import * as fleetHelpers from './fleetHelpers.js';

const { afterAll, beforeAll, describe, expect, test } = jestGlobals;

const { KEY, MODEL_ROUTE } = testKit.FLEET_NAMES;

const PROGRAMS = 3;
const TURNS = 2;
const SHORT_WALL_TIME_MS = 4_000;
const RELEASE_TIMEOUT_MS = 25_000;
const CUT_DURATION_MS = 4_000;
const BUDGET = { tokens: 10_000, calls: 100, wallTimeMs: 600_000 };

const time = new clock.SystemClock();
const caller = new testKit.Caller(KEY, MODEL_ROUTE);
let fleet: testKit.Fleet;

beforeAll(async () => {
  fleet = await testKit.startFleet({
    vms: 3,
    failureDomains: ['kochi', 'thrissur', 'kottayam'],
    engines: 3,
    proxies: { targets: true },
    settings: { journal: { shardCount: 6 } },
  });
  await fleetHelpers.untilStandbysReady(fleet);
});

afterAll(() => fleet.dispose());

function engines(): readonly testKit.FleetTarget[] {
  return fleet.targets.filter((target) => target.row.kind === 'engine');
}

/** Opens programs, runs some turns of each and checks that engines then hold memory for them. */
async function runPrograms(
  budget: Readonly<Record<string, number>> = BUDGET,
): Promise<readonly testKit.ProgramRunner[]> {
  const runners = await Promise.all(
    Array.from({ length: PROGRAMS }, async () => {
      const runner = await testKit.ProgramRunner.open(
        caller,
        fleetHelpers.createRoundRobinPicker(fleet.vms),
        {
          budget,
        },
      );
      for (let turn = 0; turn < TURNS; turn += 1) await runner.turn('trace a grave');
      return runner;
    }),
  );
  expect((await listHeldMemory(runners)).length).toBeGreaterThan(0);
  return runners;
}

/** Returns `ENGINE PROGRAM` for each engine that still holds memory for one of the programs. */
async function listHeldMemory(
  runners: readonly testKit.ProgramRunner[],
): Promise<readonly string[]> {
  const held = await Promise.all(
    engines().map(async ({ name, target }) =>
      (await target.sessions()).map((program) => ({ name, program })),
    ),
  );
  return held
    .flat()
    .filter(({ program }) => runners.some((runner) => runner.program === program))
    .map(({ name, program }) => `${name} ${program}`);
}

async function untilReleased(runners: readonly testKit.ProgramRunner[]): Promise<void> {
  let held: readonly string[] = [];
  await testKit
    .waitFor(
      async () => {
        held = await listHeldMemory(runners);
        return held.length === 0;
      },
      { what: 'the engines to release all memory', timeoutMs: RELEASE_TIMEOUT_MS, intervalMs: 100 },
    )
    .catch(() => undefined);
  expect(held).toEqual([]);
}

describe('no engine memory remains held', () => {
  test('by programs that have ended', async () => {
    const runners = await runPrograms();
    await Promise.all(runners.map((runner) => runner.end()));
    await untilReleased(runners);
  });

  test('by programs whose wall-time budget has expired', async () => {
    const runners = await runPrograms({ ...BUDGET, wallTimeMs: SHORT_WALL_TIME_MS });
    await untilReleased(runners);
  });

  test('on the former engine of programs that have moved to another one', async () => {
    const runners = await runPrograms();
    const [first] = engines();
    if (first === undefined) throw new Error('There is no engine');
    await first.target.setFaults({ refuse: true });
    await Promise.all(runners.map((runner) => runner.turn('go on')));
    await first.target.setFaults({ refuse: false });
    await Promise.all(runners.map((runner) => runner.end()));
    await untilReleased(runners);
  });

  test('by programs that ended while their engine was unreachable', async () => {
    const runners = await runPrograms();
    await Promise.all(engines().map((engine) => engine.proxy.cut()));
    await Promise.all(runners.map((runner) => runner.end()));
    await time.sleep(CUT_DURATION_MS);
    expect((await listHeldMemory(runners)).length).toBeGreaterThan(0);
    await Promise.all(engines().map((engine) => engine.proxy.restore()));
    await untilReleased(runners);
  });

  test('by programs whose home was killed, once they end or their wall-time budget expires', async () => {
    const ending = await runPrograms();
    const orphaned = await runPrograms({ ...BUDGET, wallTimeMs: SHORT_WALL_TIME_MS });
    const [first] = orphaned;
    const shardKey = fleetHelpers.shardKeyOfProgram(first?.program ?? '');
    const { owner } = await fleetHelpers.holdersOf(fleet, shardKey);
    await fleetHelpers.killVm(owner);
    await Promise.all(ending.map((runner) => runner.end()));
    await untilReleased([...ending, ...orphaned]);
    await owner.start();
    await fleetHelpers.untilStandbysReady(fleet);
  });
});
