/* eslint import-x/extensions: off, import-x/prefer-default-export: off, no-await-in-loop: off, no-param-reassign: [error, { props: false }], no-restricted-syntax: off, no-use-before-define: [error, { functions: false }] -- as in the benchmarks */
/* global Buffer, clearInterval, clearTimeout, setInterval, setTimeout */

import * as clients from '../lib/Clients.mjs';
import * as deployment from '../lib/Deployment.mjs';
import * as runCase from '../lib/runCase.mjs';
import * as runnerStandIn from '../lib/RunnerStandIn.mjs';

const SERVICE = 'agent-models';
const RUNNERS = 3;
const VMS = 3;
const TURNS_PER_S = 7;
const INPUT_BYTES = 1_048_576;
const EVENTS = 13;
const EVENT_INTERVAL_MS = 5;
const DEADLINE_MS = 4_000;
const CHUNK_TOKENS = 20;
const PROGRAM_BUDGET_TOKENS = 10_000;
const RETENTION_S = 5;

const GAP_MS = 1_300;
const GRACE_MS = 8_000;

/** The restarts end when the store holds this much. */
const NEARLY_FILLED_BYTES = 360_000_000;

/** The final fault strikes when the store holds this much, while it still accepts appends. */
const FILLED_BYTES = 395_000_000;
const FILL_TIMEOUT_MS = 8_000;
const POLL_MS = 100;
const ROLLS_END_MS = 75_000;
const STABLE_WINDOW_MS = 3_000;
const DOWN_MS = 700;
const RECOVERY_MS = 12_000;
const MEASURED_MS = 10_000;

function respond({ attempt, id, response }) {
  response.writeHead(200, {
    'Attempt-Id': attempt,
    'Server-Seal': `seal.${id}`,
    'Content-Type': 'text/event-stream',
  });
  let index = 0;
  const timer = setInterval(() => {
    response.write(`id: ${index}\ndata: piece ${index}\n\n`);
    index += 1;
    if (index < EVENTS) return;
    clearInterval(timer);
    response.end();
  }, EVENT_INTERVAL_MS);
  response.on('close', () => clearInterval(timer));
}

/** Sends first turns of programs to the VMs that are in rotation. */
class Load {
  constructor(fleet, record) {
    Object.assign(this, { fleet, record });
    this.callers = new clients.Clients(fleet.vms, record);
    this.programs = 0;
    /** When each turn was sent, and whether it was answered whole. */
    this.turns = [];
    this.isEnding = false;
  }

  async run() {
    const pending = [];
    while (!this.isEnding) {
      pending.push(this.sendTurn());
      await deployment.pause(1_000 / TURNS_PER_S);
    }
    await Promise.all(pending);
    this.callers.close();
  }

  async sendTurn() {
    this.programs += 1;
    const inRotation = this.fleet.vms.filter(({ isOut }) => !isOut);
    const vm = inRotation[this.programs % inRotation.length];
    if (vm === undefined) return;
    const sentAt = Date.now();
    const answer = await this.callers.send({
      path: '/plan/1',
      vm,
      deadlineMs: DEADLINE_MS,
      body: Buffer.alloc(INPUT_BYTES, 'x'),
      headers: {
        'program-id': `program-${this.programs}`,
        'session-id': `session-${this.programs}`,
        'program-deadline-ms': '30000',
        'token-budget': String(PROGRAM_BUDGET_TOKENS),
        'token-usage': `100,${EVENTS * CHUNK_TOKENS}`,
      },
    });
    this.turns.push({ sentAt, isServed: answer.status === 200 && answer.isComplete });
  }

  share(from, to) {
    const sent = this.turns.filter(({ sentAt }) => sentAt >= from && sentAt < to);
    const served = sent.filter(({ isServed }) => isServed);
    return { share: served.length / sent.length, text: `${served.length} of ${sent.length}` };
  }
}

/** Stops a VM with SIGTERM and starts it again, as a planned restart does. */
async function restart(fleet, vm, record) {
  vm.isOut = true;
  record.note(`${vm.name} gets SIGTERM`);
  vm.child.kill('SIGTERM');
  const timer = setTimeout(() => vm.child.kill('SIGKILL'), GRACE_MS);
  await vm.ended;
  clearTimeout(timer);
  fleet.spawn(vm);
  await deployment.waitUntilReady(vm);
  vm.isOut = false;
}

async function play({ hasTrouble, record }) {
  const runners = Array.from(
    { length: RUNNERS },
    (_, index) => new runnerStandIn.RunnerStandIn(`i-${index}`, record, respond),
  );
  const entries = await Promise.all(
    runners.map(async (runner, index) => ({
      id: runner.id,
      entry: deployment.createEntry(SERVICE, await runner.listen(), index, 24),
    })),
  );
  const fleet = new deployment.Deployment();
  const route = { Name: 'shoot-planner', PathPrefix: '/plan/', Service: SERVICE };
  const kind = { RouteKind: 'streaming', TimeoutMs: DEADLINE_MS, SloMs: 200 };
  const retention = { Retained: true, RetentionS: RETENTION_S };
  const configuration = deployment.createConfiguration(
    [{ ...route, ...kind, ...retention }],
    [SERVICE],
    { Engine: { ChunkTokens: CHUNK_TOKENS } },
  );
  try {
    await fleet.start(VMS, configuration, entries);
    const load = new Load(fleet, record);
    const running = load.run();
    const megabytes = () => `${Math.round(fleet.store.storedBytes / 1e6)} MB`;
    const rollsEnd = Date.now() + ROLLS_END_MS;
    const holds = (bytes) => fleet.store.storedBytes >= bytes;
    let restarts = 0;
    for (let next = 0; Date.now() < rollsEnd && !holds(NEARLY_FILLED_BYTES); next += 1) {
      if (hasTrouble) await restart(fleet, fleet.vms[next % VMS], record);
      if (hasTrouble) restarts += 1;
      record.note(`the store holds ${megabytes()}`);
      await deployment.pause(GAP_MS);
    }
    const fillEnd = Date.now() + FILL_TIMEOUT_MS;
    while (hasTrouble && Date.now() < fillEnd && !holds(FILLED_BYTES))
      await deployment.pause(POLL_MS);
    const faultAt = Date.now();
    const storedAtFault = megabytes();
    if (hasTrouble) {
      record.note('the final fault: all processes are killed');
      fleet.vms.forEach(({ child }) => child.kill('SIGKILL'));
      await Promise.all(fleet.vms.map(({ ended }) => ended));
      await deployment.pause(DOWN_MS);
      fleet.vms.forEach((vm) => fleet.spawn(vm));
      await Promise.all(fleet.vms.map(deployment.waitUntilReady));
      record.note('all VMs are back');
    }
    await deployment.pause(RECOVERY_MS);
    const measuredFrom = Date.now();
    await deployment.pause(MEASURED_MS);
    const storedAtEnd = megabytes();
    load.isEnding = true;
    await running;
    const before = load.share(faultAt - STABLE_WINDOW_MS - DEADLINE_MS, faultAt - DEADLINE_MS);
    const after = load.share(measuredFrom, measuredFrom + MEASURED_MS);
    const isBroken = before.share >= 0.25 && after.share < 0.25;
    return {
      violations: isBroken
        ? [`RECOVER: ${after.text} turns were served later than RecoveryS, ${before.text} before`]
        : [],
      summary: [
        `${restarts} planned restarts; the store held ${storedAtFault} then, ${storedAtEnd} at the end`,
        `turns served: ${before.text} before, ${after.text} after`,
      ],
    };
  } finally {
    await fleet.stop();
    runners.forEach((runner) => runner.close());
  }
}

await runCase.runCase(import.meta.dirname, play);
