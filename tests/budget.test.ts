import * as testKit from '@limpettack/test-kit';
import * as jestGlobals from '@jest/globals';
import * as fleetHelpers from './fleetHelpers.js';

const { afterAll, afterEach, beforeAll, describe, expect, test } = jestGlobals;

const { KEY, MODEL_ROUTE } = testKit.FLEET_NAMES;

const CALL_TOKENS = 25;
const CHILDREN = 4;
const CALLS_PER_CHILD = 20;
const MAXIMUM_LOOP_CALLS = 200;
const EVENTS_BEFORE_FAULT = 5;
const WALL_TIME_MS = 600_000;

const caller = new testKit.Caller(KEY, MODEL_ROUTE);
let fleet: testKit.Fleet;

beforeAll(async () => {
  fleet = await testKit.startFleet({
    vms: 3,
    failureDomains: ['quito-norte', 'cumbaya', 'tumbaco'],
    engines: 3,
    // An engine continues a call for a while after its client has disconnected.
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
  await fleetHelpers.untilStandbysReady(fleet);
});

afterEach(() => fleetHelpers.untilStandbysReady(fleet));

afterAll(() => fleet.dispose());

function open(tokens: number, calls = MAXIMUM_LOOP_CALLS, parent?: string): Promise<string> {
  const budget = { tokens, calls, wallTimeMs: WALL_TIME_MS };
  return caller.openProgram(fleet.vm(0), { budget, ...(parent === undefined ? {} : { parent }) });
}

/** Runs turns until the budget is exhausted. Returns the kind of the last refusal. */
async function callUntilExhausted(program: string): Promise<string> {
  const pick = fleetHelpers.createRoundRobinPicker(fleet.vms);
  let turn = 1;
  for (let count = 0; count < MAXIMUM_LOOP_CALLS; count += 1) {
    const callOptions = { program, turn, text: 'again', maximumTokens: CALL_TOKENS };
    const response = await caller.chat(pick(), callOptions);
    if (response.status === 200) turn += 1;
    if (response.text.includes('"budget-exhausted"')) return 'budget-exhausted';
  }
  return 'no end';
}

/** Waits until all engines are idle and returns the tokens that they generated for programs. */
async function countGeneratedTokens(programs: readonly string[]): Promise<number> {
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

async function expectWithinBudget(what: string, budget: number, programs: readonly string[]) {
  const generated = await countGeneratedTokens(programs);
  process.stdout.write(`budget: ${what}: budget ${budget}, generated ${generated}\n`);
  expect(generated).toBeLessThanOrEqual(budget);
  return generated;
}

/** Streams a turn and injects a fault after some events of its response. */
async function streamWithFault(
  program: string,
  entry: testKit.FleetVm,
  fault: (target: testKit.FleetTarget) => void | Promise<void>,
): Promise<void> {
  const callOptions = { program, turn: 1, text: 'a long answer', maximumTokens: CALL_TOKENS };
  let count = 0;
  try {
    for await (const event of caller.stream(entry, callOptions)) {
      count += event.data === '' ? 0 : 1;
      if (count === EVENTS_BEFORE_FAULT) await fault(await targetOf(program));
    }
  } catch {
    // The stream is interrupted if the call cannot be completed within the budget.
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
    expect(await callUntilExhausted(program)).toBe('budget-exhausted');
    const generated = await expectWithinBudget('endless loop', 8 * CALL_TOKENS + 5, [program]);
    expect(generated).toBeGreaterThanOrEqual(8 * CALL_TOKENS);
  });

  test('by a program and its children beside each other', async () => {
    const budget = 12 * CALL_TOKENS;
    const parent = await open(budget);
    // The budgets of three children exhaust that of the parent, so a fourth may be refused.
    const openings = await Promise.allSettled(
      Array.from({ length: CHILDREN }, () => open(4 * CALL_TOKENS, CALLS_PER_CHILD, parent)),
    );
    const children = openings.flatMap((opening) =>
      opening.status === 'fulfilled' ? [opening.value] : [],
    );
    const refusals = openings.flatMap((opening) =>
      opening.status === 'rejected' ? [String(opening.reason)] : [],
    );
    expect(children.length).toBeGreaterThanOrEqual(3);
    refusals.forEach((refusal) => expect(refusal).toContain('409 {"kind":"budget-exhausted"'));
    const family = [parent, ...children];
    await Promise.all(family.map(callUntilExhausted));
    const generated = await expectWithinBudget('children in parallel', budget, family);
    expect(generated).toBeGreaterThanOrEqual(budget - 4 * CALL_TOKENS);
  });

  test('and child programs without their own budget leave some for later ones', async () => {
    const parent = await open(20 * CALL_TOKENS);
    const family = [parent];
    for (let child = 0; child < CHILDREN; child += 1) {
      family.push(await caller.openProgram(fleet.vm(0), { parent }));
    }
    const responses = await Promise.all(
      family.map((program) =>
        caller.chat(fleet.vm(1), { program, turn: 1, text: 'one call', maximumTokens: 2 }),
      ),
    );
    expect(responses.map((response) => response.status)).toEqual(family.map(() => 200));
    await expectWithinBudget('children without a budget', 20 * CALL_TOKENS, family);
  });

  test('by a call during which its home is taken over', async () => {
    const program = await open(2 * CALL_TOKENS);
    const { owner } = await fleetHelpers.holdersOf(fleet, fleetHelpers.shardKeyOfProgram(program));
    const entry = fleet.vms.find((vm) => vm !== owner) ?? fleet.vm(0);
    await streamWithFault(program, entry, () => owner.process.kill('SIGKILL'));
    await owner.process.exited;
    await owner.start();
    await callUntilExhausted(program);
    await expectWithinBudget('takeover', 2 * CALL_TOKENS, [program]);
  });

  test('by a call that loses its engine and continues on another one', async () => {
    const budget = CALL_TOKENS + 5;
    const program = await open(budget);
    let lost: testKit.FleetTarget | undefined;
    await streamWithFault(program, fleet.vm(0), async (target) => {
      lost = target;
      await target.proxy.cut();
    });
    await callUntilExhausted(program);
    await lost?.proxy.restore();
    await expectWithinBudget('lost engine', budget, [program]);
  });
});
