/* The rules that eslint.config.mjs has for the scripts under benchmarks/ hold here too: */
/* eslint import-x/extensions: 'off', import-x/prefer-default-export: 'off', no-await-in-loop: 'off',
   class-methods-use-this: 'off', no-restricted-syntax: 'off',
   no-param-reassign: ['error', { props: false }], no-use-before-define: ['error', { functions: false }] */
import * as path from 'node:path';
import * as fleetModule from '../lib-2/Fleet.mjs';
import * as runnerModule from '../lib-2/Runner.mjs';
import * as storeModule from '../lib-2/Store.mjs';

const EXIT = { HELD: 0, BROKEN: 1, NOT_RUN: 2 };

const HISTORY_MS = 20_000;
const STABLE_WINDOW_MS = 4_000;
const OUTAGE_MS = 7_000;
const DOWN_MS = 1_000;
const ROUNDS = 2;

const EVENT_TOKENS = 20;
const EVENTS = 10;
const TURN_TOKENS = EVENT_TOKENS * EVENTS;
const BUDGET_TOKENS = 600;
const MOST_TURNS = 20;
/** Programs of other callers, so many that each partition of the budgets is used. */
const OTHER_PROGRAMS = 80;
const PARTS = 16;

const hasTrouble = process.env.TROUBLE !== '0';
const record = fleetModule.createRecord(path.join(import.meta.dirname, 'record.txt'));

const store = new storeModule.Store({ historyMs: HISTORY_MS });
const fleet = new fleetModule.Fleet({
  store,
  record,
  parts: PARTS,
  contracts: [...fleetModule.CONTRACTS, 'health', 'pool'],
  bounds: {
    ...fleetModule.BOUNDS,
    StableWindowMs: STABLE_WINDOW_MS,
    AckMs: 6000,
    CatchUpS: 6,
    DrainMs: 3000,
    ApplyMs: 3000,
    StretchMs: 6000,
    RecoveryS: 15,
    IterationMs: 200,
  },
});
const program = { turns: 0, tokens: 0, refusals: 0 };
const others = { turns: 0 };

async function run() {
  const stream = runnerModule.createStreamHandler(EVENTS, 10);
  const runners = ['i-1', 'i-2', 'i-3', 'i-4'].map(
    (id) =>
      new runnerModule.Runner({
        id,
        service: 'agent-models',
        zone: 'zone-1',
        store,
        record: () => undefined,
        handle: stream,
      }),
  );
  store.write('keyed.op', 'config', createConfiguration());
  await Promise.all(runners.map((runner) => runner.start()));
  await fleet.start(3);
  await fleetModule.sleep(STABLE_WINDOW_MS);
  for (let round = 1; round <= ROUNDS; round += 1) {
    await runOthers();
    if (hasTrouble) await loseAllInOutage();
    else await sendTurn();
    await fleetModule.sleep(STABLE_WINDOW_MS);
  }
  await runOthers();
  while (program.turns < MOST_TURNS && program.refusals < 2) {
    await sendTurn();
    await fleetModule.sleep(500);
  }
  runners.forEach((runner) => runner.stop());
  const allowed = BUDGET_TOKENS + TURN_TOKENS;
  record(`${program.tokens} tokens were handed to the client; ${allowed} are allowed`);
  if (program.refusals < 2) return EXIT.NOT_RUN;
  return program.tokens > allowed ? EXIT.BROKEN : EXIT.HELD;
}

/** The store is down; a turn of the program is answered, and then all processes are killed. */
async function loseAllInOutage() {
  const startedAt = Date.now();
  record('the store is down');
  store.doors.forEach((door) => {
    door.mode = storeModule.DOOR_MODES.BUSY;
  });
  await fleetModule.sleep(500);
  await sendTurn();
  await fleet.killAll(DOWN_MS);
  await fleetModule.sleep(startedAt + OUTAGE_MS - Date.now());
  store.doors.forEach((door) => {
    door.mode = storeModule.DOOR_MODES.OPEN;
  });
  record('the store is back');
  await fleet.awaitReady();
}

async function sendTurn() {
  program.turns += 1;
  const vm = fleet.vms[program.turns % fleet.vms.length];
  const answer = await send(vm, `turn-${program.turns}`, 'program-1', record);
  const tokens = EVENT_TOKENS * (answer.body.match(/^data: /gm) ?? []).length;
  if (answer.status === 200) program.tokens += tokens;
  if (answer.status === 402) program.refusals += 1;
  record(
    `turn-${program.turns}: ${answer.status === 200 ? tokens : 0} tokens, ${program.tokens} in all`,
  );
}

async function runOthers() {
  await Promise.all(
    Array.from({ length: OTHER_PROGRAMS }, () => {
      others.turns += 1;
      const vm = fleet.vms[others.turns % fleet.vms.length];
      return send(vm, `other-${others.turns}`, `other-program-${others.turns}`, () => undefined);
    }),
  );
}

function send(vm, id, name, note) {
  return fleetModule.send(vm, {
    path: '/quote/turn',
    body: 'a question',
    record: note,
    headers: {
      'Attempt-Id': id,
      'Program-Id': name,
      'Session-Id': name,
      'Program-Deadline-Ms': '60000',
      'Token-Budget': String(BUDGET_TOKENS),
      'Token-Usage': `100,${TURN_TOKENS}`,
      'Deadline-Ms': '3000',
      Authorization: 'Bearer key-of-house-1',
    },
  });
}

function createConfiguration() {
  return {
    Version: 1,
    Routes: [
      {
        Name: 'kit-quote',
        Hostname: 'desk.example',
        PathPrefix: '/quote/',
        RouteKind: 'streaming',
        Service: 'agent-models',
        Priority: 1,
        SloMs: 200,
        TimeoutMs: 3000,
        MaxAttempts: 2,
        Sticky: true,
        Resumable: true,
        TargetGapMs: 250,
      },
    ],
    Services: [
      {
        Name: 'agent-models',
        HealthPath: '/healthz',
        MaxConns: 210,
        Engine: { ChunkTokens: EVENT_TOKENS },
      },
    ],
    Limits: {
      MaxHeaderBytes: 16384,
      MaxBodyBytes: 4194304,
      HeaderTimeoutMs: 5000,
      IdleTimeoutMs: 15000,
    },
    Tenants: [{ Name: 'house-1', ApiKeys: ['key-of-house-1'], RatePerS: 500, Burst: 500 }],
  };
}

let exit = EXIT.NOT_RUN;
try {
  exit = await run();
} catch (error) {
  record(`the case could not run: ${error.stack}`);
}
if (process.env.SHOW_LOGS === '1') fleet.vms.forEach((vm) => process.stdout.write(fleet.logOf(vm)));
store.close();
fleet.dispose();
record(`exit ${exit}`);
process.exit(exit);
