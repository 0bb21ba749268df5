/* eslint import-x/extensions: off, import-x/prefer-default-export: off, no-await-in-loop: off, no-param-reassign: [error, { props: false }], no-restricted-syntax: off, no-use-before-define: [error, { functions: false }] -- as in the benchmarks */
/* global Buffer, clearInterval, setInterval */

import * as clients from '../lib/Clients.mjs';
import * as deployment from '../lib/Deployment.mjs';
import * as runCase from '../lib/runCase.mjs';
import * as runnerStandIn from '../lib/RunnerStandIn.mjs';

const SERVICE = 'agent-models';
const RUNNERS = 8;
const VMS = 7;
/** The platform forwards a client's channels by a hash: this tenant's few clients reach two VMs. */
const VMS_OF_CLIENTS = 2;
const PROGRAMS_PER_S = 6;
const TURNS = 5;
const EVENTS = 13;
const EVENT_INTERVAL_MS = 15;
const DEADLINE_MS = 4_000;
const CHUNK_TOKENS = 20;
const PROGRAM_BUDGET_TOKENS = 100_000;

/** A turn that has failed is sent again at most twice; each sending is retried once. */
const SENDINGS = 3;
const TRIES_OF_THE_RULE = 5;
const MINIMUM_PAUSE_MS = 100;
const PAUSE_SPREAD_MS = 300;
/** Statuses that promise that the request has not run. */
const NOT_RUN = new Set([429, 503]);

/** `answer_lost`, `how = "reset"`: share 0.5 of the runners, x = 0.05 of their answers, for_s = 4. */
const FAULTY_RUNNERS = 4;
const RESET_SHARE = 0.05;
const TROUBLE_MS = 4_000;
const TROUBLES = 8;
const FIRST_TROUBLE_MS = 3_000;
const TROUBLE_INTERVAL_MS = 5_000;
const TROUBLES_END_MS = FIRST_TROUBLE_MS + TROUBLES * TROUBLE_INTERVAL_MS;

const STABLE_WINDOW_MS = 3_000;
const CALM_FROM_MS = TROUBLES_END_MS + STABLE_WINDOW_MS;
const LOAD_MS = CALM_FROM_MS + 12_000;

/** What the agents say in each turn but the first. */
const CONTINUATION = 'continue';

function createRespond(isFaultyNow) {
  return ({ attempt, id, record, response }) => {
    response.writeHead(200, {
      'Attempt-Id': attempt,
      'Server-Seal': `seal.${id}`,
      'Content-Type': 'text/event-stream',
    });
    const isReset = isFaultyNow(id) && Math.random() < RESET_SHARE;
    let index = 0;
    const timer = setInterval(() => {
      if (isReset && index === 0) {
        record.note(`${id} loses its answer to ${attempt} and resets the channel`);
        response.socket?.resetAndDestroy();
        return;
      }
      response.write(`id: ${index}\ndata: piece ${index} of ${attempt}\n\n`);
      index += 1;
      if (index < EVENTS) return;
      clearInterval(timer);
      response.end();
    }, EVENT_INTERVAL_MS);
    response.on('close', () => clearInterval(timer));
  };
}

/** Runs programs: a first turn of its own and turns that continue it, all with the same input. */
class Programs {
  constructor(callers, record) {
    Object.assign(this, { callers, record });
    this.count = 0;
    /** The turns: when each was first sent, whether it continues another, and its attempts. */
    this.turns = [];
  }

  async run() {
    this.count += 1;
    const program = this.count;
    let previous;
    for (let turn = 0; turn < TURNS; turn += 1) {
      const body = turn === 0 ? `program ${program} begins` : CONTINUATION;
      previous = await this.runTurn(program, Buffer.from(body), previous);
      if (previous === undefined) return;
    }
  }

  async runTurn(program, body, previous) {
    const turn = {
      program,
      firstSentAt: Date.now(),
      isContinuing: previous !== undefined,
      ids: [],
      statuses: [],
    };
    this.turns.push(turn);
    const vm = this.callers.vms[program % VMS_OF_CLIENTS];
    const headers = {
      'program-id': `program-${program}`,
      'session-id': `session-${program}`,
      'program-deadline-ms': '30000',
      'token-budget': String(PROGRAM_BUDGET_TOKENS),
      'token-usage': `100,${EVENTS * CHUNK_TOKENS}`,
      ...(previous === undefined ? {} : { 'previous-turn': previous }),
    };
    for (let sending = 0; sending < SENDINGS; sending += 1) {
      const answer = await this.sendOnce(turn, vm, headers, body);
      if (isWhole(answer)) return answer.id;
      // A promise that the turn has not run lets the client try again, at another VM.
      if (NOT_RUN.has(answer.status)) {
        await deployment.pause(1_000 * Number(answer.headers['retry-after'] ?? 0));
        const retried = await this.sendOnce(turn, this.otherVm(vm), headers, body);
        if (isWhole(retried)) return retried.id;
      }
      await deployment.pause(MINIMUM_PAUSE_MS + PAUSE_SPREAD_MS * Math.random());
    }
    return undefined;
  }

  async sendOnce(turn, vm, headers, body) {
    const answer = await this.callers.send({
      path: '/plan/1',
      vm,
      deadlineMs: DEADLINE_MS,
      body,
      headers,
    });
    turn.ids.push(answer.id);
    turn.statuses.push(answer.status);
    return answer;
  }

  otherVm(vm) {
    const others = this.callers.vms.filter((other) => other !== vm);
    return others[Math.floor(others.length * Math.random())];
  }
}

function isWhole({ isComplete, status }) {
  return status === 200 && isComplete;
}

async function play({ hasTrouble, record }) {
  let isTroubled = false;
  const faulty = new Set(Array.from({ length: FAULTY_RUNNERS }, (_, index) => `i-${index}`));
  const respond = createRespond((id) => isTroubled && faulty.has(id));
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
  const route = { Name: 'shoot-planner', PathPrefix: '/plan/', Service: SERVICE, MaxAttempts: 2 };
  const kind = { RouteKind: 'streaming', TimeoutMs: DEADLINE_MS, SloMs: 200, Sticky: true };
  const retention = { Retained: true, RetentionS: 60 };
  const configuration = deployment.createConfiguration(
    [{ ...route, ...kind, ...retention }],
    [SERVICE],
    { Engine: { ChunkTokens: CHUNK_TOKENS } },
  );
  try {
    await fleet.start(VMS, configuration, entries);
    const callers = new clients.Clients(fleet.vms, record);
    const programs = new Programs(callers, record);
    const startedAt = Date.now();
    const running = clients.sendAtRandom(PROGRAMS_PER_S, LOAD_MS, () => programs.run());
    for (let trouble = 0; hasTrouble && trouble < TROUBLES; trouble += 1) {
      const start = startedAt + FIRST_TROUBLE_MS + trouble * TROUBLE_INTERVAL_MS;
      await deployment.pause(start - Date.now());
      record.note('half of the runners lose some of their answers');
      isTroubled = true;
      await deployment.pause(TROUBLE_MS);
      isTroubled = false;
      record.note('the runners are sound again');
    }
    await running;
    callers.close();
    const ran = new Set(runners.flatMap((runner) => runner.ran));
    const calm = programs.turns.filter(({ firstSentAt }) => firstSentAt > startedAt + CALM_FROM_MS);
    const reachesNone = ({ ids }) => ids.every((id) => !ran.has(id));
    const first = calm.filter(({ isContinuing }) => !isContinuing);
    const continuing = calm.filter(({ isContinuing }) => isContinuing);
    const served = first.filter((turn) => !reachesNone(turn));
    const lost = continuing.filter(
      (turn) => turn.ids.length >= TRIES_OF_THE_RULE && reachesNone(turn),
    );
    const isExcused = served.length < 0.9 * first.length;
    return {
      violations: isExcused
        ? []
        : lost.map(
            ({ ids, program, statuses }) =>
              `LOST: a turn of program ${program} reached no runner in ${ids.length} tries, answered ${statuses.join(', ')}`,
          ),
      summary: [
        `in the calm: ${served.length} of ${first.length} first turns and ` +
          `${continuing.filter((turn) => !reachesNone(turn)).length} of ${continuing.length} others reached a runner`,
      ],
    };
  } finally {
    await fleet.stop();
    runners.forEach((runner) => runner.close());
  }
}

await runCase.runCase(import.meta.dirname, play);
