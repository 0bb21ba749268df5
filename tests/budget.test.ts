import * as testKit from '@limpettack/test-kit';
import * as jestGlobals from '@jest/globals';
import * as fleetViews from './fleetViews.js';

const { afterAll, afterEach, beforeAll, describe, expect, test } = jestGlobals;

const { KEY, MODEL_ROUTE } = testKit.FLEET_NAMES;

const CALL_TOKENS = 25;
const CHILDREN = 4;
const CHILD_CALLS = 20;
const LOOP_LIMIT = 200;
const EVENTS_BEFORE_FAULT = 5;
const WALL_TIME_MS = 600_000;

const caller = new testKit.Caller(KEY, MODEL_ROUTE);
let fleet: testKit.Fleet;

beforeAll(async () => {
  fleet = await testKit.startFleet({
    vms: 3,
    failureDomains: ['quito-norte', 'cumbaya', 'tumbaco'],
    engines: 3,
    // An engine goes on for a while with a call whose reader is gone.
    engineOptions: { 'decode-ms-per-token': 20, 'resume-window-ms': 3_000 },
    proxies: { targets: true },
    settings: { journal: { shardCount: 6 } },
    tables: (targets) => {
      const tables = testKit.defaultTables(targets);
      const routes = tables.routes.map((route) => ({
        ...route,
        defaultMaximumTokens: CALL_TOKENS,
      }));
      return { ...tables, routes };
    },
  });
  await fleetViews.untilPaired(fleet);
});

afterEach(() => fleetViews.untilPaired(fleet));

afterAll(() => fleet.dispose());

function open(tokens: number, calls = LOOP_LIMIT, parent?: string): Promise<string> {
  const budget = { tokens, calls, wallTimeMs: WALL_TIME_MS };
  return caller.openProgram(fleet.vm(0), { budget, ...(parent === undefined ? {} : { parent }) });
}

/** Calls turn after turn until the budget is used up; returns the kind of the last refusal. */
async function loop(program: string): Promise<string> {
  const pick = fleetViews.pickInTurn(fleet.vms);
  let turn = 1;
  for (let count = 0; count < LOOP_LIMIT; count += 1) {
    const place = { program, turn, text: 'again', maximumTokens: CALL_TOKENS };
    const answer = await caller.chat(pick(), place);
    if (answer.status === 200) turn += 1;
    if (answer.text.includes('"budget-exhausted"')) return 'budget-exhausted';
  }
  return 'no end';
}

/** Tokens that all engines have generated for programs, once no call runs there any more. */
async function generatedFor(programs: readonly string[]): Promise<number> {
  const engines = fleet.targets.filter((target) => target.row.kind === 'engine');
  await testKit.waitFor(
    async () => {
      const entries = await Promise.all(engines.map(({ target }) => target.journal('/v1/chat/')));
      return entries.flat().every((entry) => entry.outcome !== undefined);
    },
    { what: 'the engines to end their calls' },
  );
  const counts = await Promise.all(engines.map(({ target }) => target.generated()));
  const all = counts.flatMap((count) => programs.map((program) => count[program] ?? 0));
  return all.reduce((sum, count) => sum + count, 0);
}

async function expectWithin(what: string, budget: number, programs: readonly string[]) {
  const generated = await generatedFor(programs);
  process.stdout.write(`budget: ${what}: budget ${budget}, generated ${generated}\n`);
  expect(generated).toBeLessThanOrEqual(budget);
  return generated;
}

/** Streams a turn and does something to the fleet when its answer has begun. */
async function streamWith(
  program: string,
  entry: testKit.FleetVm,
  fault: (target: testKit.FleetTarget) => void | Promise<void>,
): Promise<void> {
  const place = { program, turn: 1, text: 'a long answer', maximumTokens: CALL_TOKENS };
  let count = 0;
  try {
    for await (const event of caller.stream(entry, place)) {
      count += event.data === '' ? 0 : 1;
      if (count === EVENTS_BEFORE_FAULT) await fault(await targetOf(program));
    }
  } catch {
    // A call that cannot be finished within the budget breaks off.
  }
}

async function targetOf(program: string): Promise<testKit.FleetTarget> {
  const found = await Promise.all(
    fleet.targets.map(async (target) => {
      const entries = await target.target.journal('/v1/chat/');
      return entries.some((entry) => entry.program === program) ? [target] : [];
    }),
  );
  const [target] = found.flat();
  if (target === undefined) throw new Error(`No target runs ${program}`);
  return target;
}

describe('the budget of a program is never exceeded', () => {
  test('by an endless loop', async () => {
    const program = await open(8 * CALL_TOKENS + 5);
    expect(await loop(program)).toBe('budget-exhausted');
    const generated = await expectWithin('endless loop', 8 * CALL_TOKENS + 5, [program]);
    expect(generated).toBeGreaterThanOrEqual(8 * CALL_TOKENS);
  });

  test('by a program and its children beside each other', async () => {
    const budget = 12 * CALL_TOKENS;
    const parent = await open(budget);
    const children = await Promise.all(
      Array.from({ length: CHILDREN }, () => open(4 * CALL_TOKENS, CHILD_CALLS, parent)),
    );
    const family = [parent, ...children];
    await Promise.all(family.map(loop));
    const generated = await expectWithin('children in parallel', budget, family);
    expect(generated).toBeGreaterThanOrEqual(budget - 4 * CALL_TOKENS);
  });

  test('and sub-agents that name no budget leave some to those after them', async () => {
    const parent = await open(20 * CALL_TOKENS);
    const family = [parent];
    for (let child = 0; child < CHILDREN; child += 1) {
      family.push(await caller.openProgram(fleet.vm(0), { parent }));
    }
    const answers = await Promise.all(
      family.map((program) =>
        caller.chat(fleet.vm(1), { program, turn: 1, text: 'one call', maximumTokens: 2 }),
      ),
    );
    expect(answers.map((answer) => answer.status)).toEqual(family.map(() => 200));
    await expectWithin('children without a budget', 20 * CALL_TOKENS, family);
  });

  test('over a takeover in mid-call', async () => {
    const program = await open(2 * CALL_TOKENS);
    const { owner } = await fleetViews.holdersOf(fleet, fleetViews.shardKeyOfProgram(program));
    const entry = fleet.vms.find((vm) => vm !== owner) ?? fleet.vm(0);
    await streamWith(program, entry, () => owner.process.kill('SIGKILL'));
    await owner.process.exited;
    await owner.start();
    await loop(program);
    await expectWithin('takeover', 2 * CALL_TOKENS, [program]);
  });

  test('when the engine is lost in mid-call and another one takes over', async () => {
    const budget = CALL_TOKENS + 5;
    const program = await open(budget);
    let lost: testKit.FleetTarget | undefined;
    await streamWith(program, fleet.vm(0), async (target) => {
      lost = target;
      await target.proxy.cut();
    });
    await loop(program);
    await lost?.proxy.restore();
    await expectWithin('lost engine', budget, [program]);
  });
});
