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
const VMS = 61;
const ZONES = ['zone-1', 'zone-2', 'zone-3'];

const RATE_PER_SECOND = 4;
const BURST = 4;
/** The bound of QUOTA, with the figures of the sheet. */
const WINDOW_MS = 5_000;
const OVERSHOOT = 0.1;
const TOLERANCE = 20;

/** The usual rate of the workspace, of which its limit is 1.6 times (`quota_x` of the site). */
const USUAL_PER_SECOND = 2.5;
/** For this long it sends 7.2 times its usual (`hot_tenant`). */
const HOT_PER_SECOND = 18;
const HOT_FROM_MS = 6_500;
const HOT_TO_MS = 13_000;
const KILL_AT_MS = 8_000;
const DOWN_MS = 3_500;
const TOTAL_MS = 20_000;

/** The machine that owns the limit of this workspace, by the names of both. */
const WORKSPACE = 'shop-1';
const OWNER = 'edge-29';

const hasTrouble = process.env.TROUBLE !== '0';
const record = fleetModule.createRecord(path.join(import.meta.dirname, 'record.txt'));

const store = new storeModule.Store({ historyMs: HISTORY_MS });
const fleet = new fleetModule.Fleet({
  store,
  record,
  parts: 16,
  contracts: [...fleetModule.CONTRACTS, 'health', 'pool', 'pressure'],
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
/** For each request that a runner runs: when it was sent, and when it arrived there. */
const sentAt = new Map();
const runs = [];

async function run() {
  const runners = ['i-1', 'i-2', 'i-3'].map(
    (id) =>
      new runnerModule.Runner({
        id,
        service: 'lm-bench',
        zone: ZONES[0],
        store,
        record: () => undefined,
        handle: answer,
      }),
  );
  store.write('keyed.op', 'config', createConfiguration());
  await Promise.all(runners.map((runner) => runner.start()));
  await fleet.start(VMS, ZONES);
  await fleetModule.sleep(2 * STABLE_WINDOW_MS);
  const startedAt = Date.now();
  const sending = sendAll(startedAt);
  await fleetModule.sleep(KILL_AT_MS);
  if (hasTrouble) {
    const owner = fleet.vms.find(({ name }) => name === OWNER);
    record(`${OWNER}: SIGKILL`);
    owner.child.kill('SIGKILL');
    await owner.ended;
    await fleetModule.sleep(DOWN_MS);
    fleet.launch(owner);
  }
  await sending;
  runners.forEach((runner) => runner.stop());
  const bound = (RATE_PER_SECOND * (WINDOW_MS / 1000) + BURST) * (1 + OVERSHOOT) + TOLERANCE;
  const worst = worstWindow();
  record(`${runs.length} requests ran; ${worst.count} of them within 5 s from ${worst.from} ms on`);
  record(`the bound is ${bound.toFixed(1)} in 5 s`);
  return worst.count > bound ? EXIT.BROKEN : EXIT.HELD;

  /** The most requests that are both sent and arrive within one window. */
  function worstWindow() {
    const windows = runs.map(({ sent }) => ({
      from: sent - startedAt,
      count: runs.filter((other) => other.sent >= sent && other.arrived <= sent + WINDOW_MS).length,
    }));
    return windows.sort((left, right) => right.count - left.count)[0] ?? { from: 0, count: 0 };
  }
}

const stream = runnerModule.createStreamHandler(3, 10);

async function answer(call) {
  runs.push({ sent: sentAt.get(call.attempt), arrived: Date.now() });
  await stream(call);
}

/** Sends the requests of the workspace to the machines in rotation, one after the other. */
async function sendAll(startedAt) {
  const pending = [];
  for (let index = 0; Date.now() < startedAt + TOTAL_MS; index += 1) {
    const vms = fleet.vms.filter(
      ({ child }) => child.exitCode === null && child.signalCode === null,
    );
    const id = `call-${index}`;
    sentAt.set(id, Date.now());
    pending.push(sendCall(vms[index % vms.length], id));
    const ageMs = Date.now() - startedAt;
    const isHot = ageMs >= HOT_FROM_MS && ageMs < HOT_TO_MS;
    await fleetModule.sleep(1000 / (isHot ? HOT_PER_SECOND : USUAL_PER_SECOND));
  }
  await Promise.all(pending);
}

function sendCall(vm, id) {
  return fleetModule.send(vm, {
    path: '/fix/turn',
    body: `question ${id}`,
    record: () => undefined,
    headers: {
      'Attempt-Id': id,
      'Deadline-Ms': '3054',
      'Token-Usage': '100,60',
      Authorization: 'Bearer key-of-shop-1',
    },
  });
}

function createConfiguration() {
  return {
    Version: 1,
    Routes: [
      {
        Name: 'guided-fix',
        Hostname: 'desk.example',
        PathPrefix: '/fix/',
        RouteKind: 'streaming',
        Service: 'lm-bench',
        Priority: 2,
        SloMs: 509,
        TimeoutMs: 3054,
        MaxAttempts: 2,
      },
    ],
    Services: [{ Name: 'lm-bench', HealthPath: '/healthz', MaxConns: 540 }],
    Limits: {
      MaxHeaderBytes: 16384,
      MaxBodyBytes: 4194304,
      HeaderTimeoutMs: 5000,
      IdleTimeoutMs: 30540,
    },
    Tenants: [
      { Name: WORKSPACE, ApiKeys: ['key-of-shop-1'], RatePerS: RATE_PER_SECOND, Burst: BURST },
    ],
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
