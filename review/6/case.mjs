/* The rules that eslint.config.mjs has for the scripts under benchmarks/ hold here too: */
/* eslint import-x/extensions: 'off', import-x/prefer-default-export: 'off', no-await-in-loop: 'off',
   class-methods-use-this: 'off', no-restricted-syntax: 'off',
   no-param-reassign: ['error', { props: false }], no-use-before-define: ['error', { functions: false }] */
import * as path from 'node:path';
import * as fleetModule from '../lib-2/Fleet.mjs';
import * as runnerModule from '../lib-2/Runner.mjs';
import * as storeModule from '../lib-2/Store.mjs';

const EXIT = { HELD: 0, BROKEN: 1, NOT_RUN: 2 };

/** As on the sheet of the site: the store keeps 20 s of history, and turns are kept for 60 s. */
const HISTORY_MS = 20_000;
const RETENTION_S = 60;
const SECOND_TURN_AFTER_MS = 16_000;
const THIRD_TURN_AFTER_MS = 57_500;
const LATEST_MS = 59_000;
const EVENTS = 3;
const TRIES = 3;

const hasTrouble = process.env.TROUBLE !== '0';
const record = fleetModule.createRecord(path.join(import.meta.dirname, 'record.txt'));

const store = new storeModule.Store({ historyMs: HISTORY_MS });
const fleet = new fleetModule.Fleet({ store, record });
const runs = new Map();

async function run() {
  const stream = runnerModule.createStreamHandler(EVENTS);
  const runners = ['i-1', 'i-2'].map(
    (id) =>
      new runnerModule.Runner({
        id,
        service: 'agent-models',
        zone: 'zone-1',
        store,
        record,
        handle: (call) => {
          runs.set(call.attempt, call.body.toString());
          return stream(call);
        },
      }),
  );
  store.write('keyed.op', 'config', createConfiguration());
  await Promise.all(runners.map((runner) => runner.start()));
  await fleet.start(3);
  await fleetModule.sleep(3_000);
  const [first, second, third] = fleet.vms;

  const one = await sendTurn(first, 'turn-1', 'first question;', {});
  const two = await after(one, SECOND_TURN_AFTER_MS, () =>
    sendTurn(second, 'turn-2', 'second question;', { 'Previous-Turn': 'turn-1' }),
  );
  if (!isWhole(one) || !isWhole(two)) return EXIT.NOT_RUN;
  if (hasTrouble) await fleet.restart(second);
  const verdict = await after(two, THIRD_TURN_AFTER_MS, () => continueTurn(third, two));
  runners.forEach((runner) => runner.stop());
  return verdict;
}

/** Continues the second turn while it has to be kept. */
async function continueTurn(vm, two) {
  for (let attempt = 1; attempt <= TRIES; attempt += 1) {
    const id = `turn-3-${attempt}`;
    const sentAt = Date.now();
    const answer = await sendTurn(vm, id, 'third question;', { 'Previous-Turn': 'turn-2' });
    const ageMs = answer.endedAt - two.endedAt;
    record(`turn-2 was answered whole ${ageMs} ms before the answer to ${id}`);
    if (sentAt - two.endedAt > LATEST_MS) return EXIT.NOT_RUN;
    if ((answer.status === 404 || answer.status === 410) && ageMs < RETENTION_S * 1000) {
      record('LOST: a kept turn is answered as unknown');
      return EXIT.BROKEN;
    }
    if (isWhole(answer)) {
      const expected = [
        'first question;',
        outputOf('turn-1'),
        'second question;',
        outputOf('turn-2'),
        'third question;',
      ].join('');
      if (runs.get(id) === expected) return EXIT.HELD;
      record('UNASKED: the runner got another history');
      return EXIT.BROKEN;
    }
    await fleetModule.sleep(200);
  }
  return EXIT.NOT_RUN;
}

function sendTurn(vm, id, body, headers) {
  return fleetModule.send(vm, {
    path: '/plan/turn',
    body,
    record,
    headers: {
      'Attempt-Id': id,
      'Program-Id': 'program-1',
      'Session-Id': 'session-1',
      'Program-Deadline-Ms': '100000',
      'Token-Budget': '10000',
      'Token-Usage': '100,60',
      'Deadline-Ms': '4000',
      Authorization: 'Bearer key-of-house-1',
      ...headers,
    },
  });
}

function outputOf(attempt) {
  return Array.from({ length: EVENTS }, (_, index) => `${attempt} piece ${index}\n`).join('');
}

function isWhole(answer) {
  return answer.status === 200 && answer.isWhole;
}

async function after(answer, milliseconds, step) {
  await fleetModule.sleep(Math.max(0, answer.endedAt + milliseconds - Date.now()));
  return step();
}

function createConfiguration() {
  return {
    Version: 1,
    Routes: [
      {
        Name: 'shoot-planner',
        Hostname: 'desk.example',
        PathPrefix: '/plan/',
        RouteKind: 'streaming',
        Service: 'agent-models',
        Priority: 0,
        SloMs: 200,
        TimeoutMs: 4000,
        MaxAttempts: 2,
        Sticky: true,
        Resumable: true,
        Retained: true,
        RetentionS: RETENTION_S,
        TargetGapMs: 250,
      },
    ],
    Services: [
      {
        Name: 'agent-models',
        HealthPath: '/healthz',
        MaxConns: 210,
        Engine: { ChunkTokens: 20 },
      },
    ],
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
