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
const STABLE_WINDOW_MS = 3_000;
/** A crashed runner is back after this time. */
const DOWN_MS = 2_000;
const WORK_MS = 200;
const CRASHES_BEFORE = 3;
const RETRIES = 7;
const RETRY_INTERVAL_MS = 2_500;
/** More retries than this that reach runners break the rule. */
const ALLOWED_RETRIES = 3;
const POISON_PATH = '/book/lens-17';

const hasTrouble = process.env.TROUBLE !== '0';
const record = fleetModule.createRecord(path.join(import.meta.dirname, 'record.txt'));

const store = new storeModule.Store({ historyMs: HISTORY_MS });
const fleet = new fleetModule.Fleet({ store, record });
/** The attempts of the request that crashes runners and reached one, with the time. */
const reached = [];
const others = { lostCalls: 0, isSending: true };

async function run() {
  const runners = ['i-1', 'i-2', 'i-3', 'i-4'].map(
    (id) =>
      new runnerModule.Runner({
        id,
        service: 'desk-app',
        zone: 'zone-1',
        store,
        record,
        handle: (call) => handle(call),
      }),
  );
  store.write('keyed.op', 'config', createConfiguration());
  await Promise.all(runners.map((runner) => runner.start()));
  await fleet.start(5);
  await fleetModule.sleep(STABLE_WINDOW_MS);
  const [restarted, ...rest] = fleet.vms;
  const sending = sendOthers(rest);

  // The request comes again, at any machine, and is refused after it has crashed three runners.
  for (let attempt = 1; attempt <= 6 && reached.length < CRASHES_BEFORE; attempt += 1) {
    await sendPoison(rest[attempt % rest.length], `poison-${attempt}`);
    await fleetModule.sleep(500);
  }
  const thirdCrashAt = reached[CRASHES_BEFORE - 1]?.at;
  if (thirdCrashAt === undefined) return EXIT.NOT_RUN;
  await fleetModule.sleep(500);
  await sendPoison(restarted, 'poison-refused');
  if (reached.length > CRASHES_BEFORE) return EXIT.NOT_RUN;

  if (hasTrouble) await fleet.restart(restarted);
  else await fleetModule.sleep(STABLE_WINDOW_MS);
  // From now on the machine has been in touch for the whole window.
  await fleetModule.sleep(STABLE_WINDOW_MS + 500);
  const inTouchAt = Date.now();
  others.lostCalls = 0;
  for (let attempt = 1; attempt <= RETRIES; attempt += 1) {
    await sendPoison(restarted, `poison-again-${attempt}`);
    await fleetModule.sleep(RETRY_INTERVAL_MS);
  }
  others.isSending = false;
  await sending;
  runners.forEach((runner) => runner.stop());
  const late = reached.filter(({ at }) => at >= inTouchAt && at > thirdCrashAt + STABLE_WINDOW_MS);
  record(
    `${late.length} retries reached runners later than ${STABLE_WINDOW_MS} ms after the third crash`,
  );
  record(`${others.lostCalls} calls of others that must not be repeated were lost meanwhile`);
  return late.length > ALLOWED_RETRIES ? EXIT.BROKEN : EXIT.HELD;
}

/** Runs a call. The request that crashes runners takes its runner down for some seconds. */
async function handle({ attempt, request, response, runner }) {
  if (request.url === POISON_PATH) {
    reached.push({ attempt, at: Date.now() });
    record(`${runner.id} crashes because of ${attempt}`);
    runner.crash(DOWN_MS);
    return;
  }
  await fleetModule.sleep(WORK_MS);
  if (response.destroyed) return;
  const body = `done ${attempt}`;
  response.writeHead(200, {
    'Attempt-Id': attempt,
    'Server-Seal': `seal.${runner.id}`,
    'Content-Length': body.length,
  });
  response.end(body);
}

function sendPoison(vm, id) {
  return sendCall(vm, POISON_PATH, id, record);
}

/** Calls of other callers, all of which run on the same runners. */
async function sendOthers(vms) {
  const running = [];
  for (let index = 0; others.isSending; index += 1) {
    const call = sendCall(
      vms[index % vms.length],
      `/book/other-${index}`,
      `other-${index}`,
      () => undefined,
    );
    running.push(
      call.then(({ status }) => {
        if (status === 200 || status === 429 || status === 503) return;
        others.lostCalls += 1;
        record(`the call other-${index} is lost: ${status}`);
      }),
    );
    await fleetModule.sleep(50);
  }
  await Promise.all(running);
}

function sendCall(vm, target, id, note) {
  return fleetModule.send(vm, {
    path: target,
    body: `reserve for ${target}`,
    record: note,
    headers: {
      'Attempt-Id': id,
      'Deadline-Ms': '1500',
      Authorization: 'Bearer key-of-house-1',
    },
  });
}

function createConfiguration() {
  return {
    Version: 1,
    Routes: [
      {
        Name: 'hold-book',
        Hostname: 'desk.example',
        PathPrefix: '/book/',
        RouteKind: 'non_idempotent',
        Service: 'desk-app',
        Priority: 2,
        SloMs: 186,
        TimeoutMs: 1500,
        MaxAttempts: 2,
      },
    ],
    Services: [{ Name: 'desk-app', HealthPath: '/healthz', MaxConns: 110 }],
    Limits: {
      MaxHeaderBytes: 16384,
      MaxBodyBytes: 4194304,
      HeaderTimeoutMs: 5000,
      IdleTimeoutMs: 15000,
    },
    Tenants: [{ Name: 'house-1', ApiKeys: ['key-of-house-1'], RatePerS: 100, Burst: 100 }],
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
