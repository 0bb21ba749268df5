/* eslint import-x/extensions: off, import-x/prefer-default-export: off, no-await-in-loop: off, no-param-reassign: [error, { props: false }], no-restricted-syntax: off, no-use-before-define: [error, { functions: false }] -- as in the benchmarks */
/* global Buffer, clearInterval, setInterval */

import * as clients from '../lib/Clients.mjs';
import * as deployment from '../lib/Deployment.mjs';
import * as runCase from '../lib/runCase.mjs';
import * as runnerStandIn from '../lib/RunnerStandIn.mjs';

const SERVICE = 'agent-models';
const RUNNERS = 2;
const VMS = 3;
const PROGRAMS = 30;
const TURNS = 4;
const EVENTS = 13;
const EVENT_INTERVAL_MS = 5;
const DEADLINE_MS = 4_000;
const CHUNK_TOKENS = 20;
const PROGRAM_BUDGET_TOKENS = 100_000;

/**
 * LINE SEPARATOR: a character of text like any other. In an event stream only CR and LF end a line.
 */
const LINE_SEPARATOR = '\u2028';

/** The event whose text contains the character. */
const MARKED_EVENT = 6;

function textOf(index, hasTrouble) {
  const separator = hasTrouble && index === MARKED_EVENT ? LINE_SEPARATOR : ' ';
  return `line ${index},${separator}the lens is free on day ${index}`;
}

/** Streams the events of a turn and remembers the body that it was given. */
function createRespond(outputs, hasTrouble) {
  return ({ attempt, id, response }) => {
    response.writeHead(200, {
      'Attempt-Id': attempt,
      'Server-Seal': `seal.${id}`,
      'Content-Type': 'text/event-stream',
    });
    const texts = Array.from({ length: EVENTS }, (_, index) => textOf(index, hasTrouble));
    outputs.set(attempt, texts.map((text) => `${text}\n`).join(''));
    let index = 0;
    const timer = setInterval(() => {
      response.write(`id: ${index}\ndata: ${texts[index]}\n\n`);
      index += 1;
      if (index < EVENTS) return;
      clearInterval(timer);
      response.end();
    }, EVENT_INTERVAL_MS);
    response.on('close', () => clearInterval(timer));
  };
}

/** Runs the turns of one program. Each continues the one before. */
async function runProgram(program, { callers, outputs, record, turns }) {
  let previous;
  let history = '';
  for (let turn = 0; turn < TURNS; turn += 1) {
    const input = `input ${turn} of program ${program}\n`;
    const headers = {
      'program-id': `program-${program}`,
      'session-id': `session-${program}`,
      'program-deadline-ms': '30000',
      'token-budget': String(PROGRAM_BUDGET_TOKENS),
      'token-usage': `100,${EVENTS * CHUNK_TOKENS}`,
      ...(previous === undefined ? {} : { 'previous-turn': previous }),
    };
    const body = Buffer.from(input);
    const answer = await callers.send({ path: '/plan/1', deadlineMs: DEADLINE_MS, body, headers });
    if (answer.status !== 200 || !answer.isComplete) {
      record.note(`program ${program} ends after ${turn} turns with ${answer.status}`);
      return;
    }
    turns.push({ id: answer.id, expected: history + input });
    history += input + outputs.get(answer.id);
    previous = answer.id;
  }
}

async function play({ hasTrouble, record }) {
  const outputs = new Map();
  const runners = Array.from(
    { length: RUNNERS },
    (_, index) =>
      new runnerStandIn.RunnerStandIn(`i-${index}`, record, createRespond(outputs, hasTrouble)),
  );
  const entries = await Promise.all(
    runners.map(async (runner, index) => ({
      id: runner.id,
      entry: deployment.createEntry(SERVICE, await runner.listen(), index, 24),
    })),
  );
  const fleet = new deployment.Deployment();
  const route = { Name: 'shoot-planner', PathPrefix: '/plan/', Service: SERVICE };
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
    const turns = [];
    await Promise.all(
      Array.from({ length: PROGRAMS }, (_, program) =>
        runProgram(program, { callers, outputs, record, turns }),
      ),
    );
    callers.close();
    const received = new Map(runners.flatMap(({ bodies }) => [...bodies]));
    const wrong = turns.filter(({ expected, id }) => received.get(id)?.toString() !== expected);
    wrong.slice(0, 1).forEach(({ expected, id }) => {
      record.note(`the runner should have received for ${id}: ${JSON.stringify(expected)}`);
      record.note(`the runner received for ${id}: ${JSON.stringify(String(received.get(id)))}`);
    });
    return {
      violations: wrong.map(
        ({ expected, id }) =>
          `UNASKED: ${id} ran with a body of ${received.get(id)?.length} bytes in place of ` +
          `${Buffer.byteLength(expected)}: earlier output is missing`,
      ),
      summary: [
        `${turns.length} of ${PROGRAMS * TURNS} turns answered whole, ` +
          `${PROGRAMS * (TURNS - 1)} continue another`,
      ],
    };
  } finally {
    await fleet.stop();
    runners.forEach((runner) => runner.close());
  }
}

await runCase.runCase(import.meta.dirname, play);
