import * as clock from '@limpettack/clock';
import * as testKit from '@limpettack/test-kit';
import * as jestGlobals from '@jest/globals';
import * as fleetViews from './fleetViews.js';

const { afterAll, beforeAll, describe, expect, test } = jestGlobals;

const { KEY, MODEL_ROUTE } = testKit.FLEET_NAMES;

const PROGRAMS = 3;
const TURNS = 2;
const SHORT_LIFE_MS = 4_000;
const RELEASE_LIMIT_MS = 25_000;
const CUT_MS = 4_000;
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
  await fleetViews.untilPaired(fleet);
});

afterAll(() => fleet.dispose());

function engines(): readonly testKit.FleetTarget[] {
  return fleet.targets.filter((target) => target.row.kind === 'engine');
}

/** Opens programs, runs some turns of each and checks that engines hold memory for them. */
async function runPrograms(
  budget: Readonly<Record<string, number>> = BUDGET,
): Promise<readonly testKit.ProgramRunner[]> {
  const runners = await Promise.all(
    Array.from({ length: PROGRAMS }, async () => {
      const runner = await testKit.ProgramRunner.open(caller, fleetViews.pickInTurn(fleet.vms), {
        budget,
      });
      for (let turn = 0; turn < TURNS; turn += 1) await runner.turn('trace a grave');
      return runner;
    }),
  );
  expect((await heldOf(runners)).length).toBeGreaterThan(0);
  return runners;
}

/** The programs that engines still hold memory for, with the engine. */
async function heldOf(runners: readonly testKit.ProgramRunner[]): Promise<readonly string[]> {
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
        held = await heldOf(runners);
        return held.length === 0;
      },
      { what: 'the engines to hold nothing', timeoutMs: RELEASE_LIMIT_MS, intervalMs: 100 },
    )
    .catch(() => undefined);
  expect(held).toEqual([]);
}

describe('no engine memory stays held', () => {
  test('by programs that have ended', async () => {
    const runners = await runPrograms();
    await Promise.all(runners.map((runner) => runner.end()));
    await untilReleased(runners);
  });

  test('by programs whose time is over', async () => {
    const runners = await runPrograms({ ...BUDGET, wallTimeMs: SHORT_LIFE_MS });
    await untilReleased(runners);
  });

  test('by programs that have moved to another engine, at the one they left', async () => {
    const runners = await runPrograms();
    const [first] = engines();
    if (first === undefined) throw new Error('There is no engine');
    await first.target.setFaults({ refuse: true });
    await Promise.all(runners.map((runner) => runner.turn('go on')));
    await first.target.setFaults({ refuse: false });
    await Promise.all(runners.map((runner) => runner.end()));
    await untilReleased(runners);
  });

  test('by programs that ended while their engine was cut off', async () => {
    const runners = await runPrograms();
    await Promise.all(engines().map((engine) => engine.proxy.cut()));
    await Promise.all(runners.map((runner) => runner.end()));
    await time.sleep(CUT_MS);
    expect((await heldOf(runners)).length).toBeGreaterThan(0);
    await Promise.all(engines().map((engine) => engine.proxy.restore()));
    await untilReleased(runners);
  });

  test('by programs whose home was killed, when they end or their time is over', async () => {
    const ending = await runPrograms();
    const orphaned = await runPrograms({ ...BUDGET, wallTimeMs: SHORT_LIFE_MS });
    const [first] = orphaned;
    const shardKey = fleetViews.shardKeyOfProgram(first?.program ?? '');
    const { owner } = await fleetViews.holdersOf(fleet, shardKey);
    await fleetViews.killVm(owner);
    await Promise.all(ending.map((runner) => runner.end()));
    await untilReleased([...ending, ...orphaned]);
    await owner.start();
    await fleetViews.untilPaired(fleet);
  });
});
