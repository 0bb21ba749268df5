/* eslint import-x/extensions: off, import-x/prefer-default-export: off, no-await-in-loop: off, no-param-reassign: [error, { props: false }], no-restricted-syntax: off, no-use-before-define: [error, { functions: false }] -- as in the benchmarks */
/* global Buffer, setTimeout */

import * as http from 'node:http';
import * as clients from '../lib/Clients.mjs';
import * as deployment from '../lib/Deployment.mjs';
import * as runCase from '../lib/runCase.mjs';

const SERVICE = 'desk-app';
const RUNNERS = 4;
const SLOTS = 2;
const QUEUE = 2;
const WORK_MS = 37;
const REQUESTS_PER_S = 200;
const LOAD_MS = 38_000;
const DEADLINE_MS = 1_500;
const QUIET_MS = 2_000;

/** `garble`, `how = "extra late"`: share 0.6 of the runners, x = 0.03 of their answers. */
const FAULTY_RUNNERS = 2;
const EXTRA_SHARE = 0.03;

/** `for_s` = 5.0; the entry comes four times, with calm between. */
const TROUBLE_MS = 5_000;
const TROUBLE_STARTS_MS = [2_000, 11_000, 20_000, 29_000];

/** Statuses that promise that the request has not run and never will. */
const PROMISES = new Set([408, 421, 429, 503]);

/**
 * A runner with a few slots and a short queue. A faulty one sends some of its answers a second
 * time, late: at the point where the next answer on that channel is due.
 */
class Runner {
  constructor(id, isFaulty, record, runs) {
    Object.assign(this, { id, isFaulty, record, runs });
    /** When the load begins. */
    this.loadStartedAt = Number.POSITIVE_INFINITY;
    this.active = 0;
    this.queue = [];
    this.extraAnswers = 0;
    this.extraRefusals = 0;
    /** The second copies that are still to be sent, by channel. */
    this.late = new WeakMap();
    this.server = http.createServer((request, response) => this.accept(request, response));
    this.server.keepAliveTimeout = 10_000;
  }

  async listen() {
    await new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${this.server.address().port}`;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  accept(request, response) {
    request.resume();
    request.on('end', () => {
      const { socket } = request;
      const copy = this.late.get(socket);
      if (copy !== undefined) {
        this.late.delete(socket);
        this.record.note(`${this.id} sends a second copy: ${copy.split('\r\n', 2).join(', ')}`);
        socket.write(copy, 'latin1');
      }
      this.take(request, response);
    });
  }

  take(request, response) {
    const attempt = request.headers['attempt-id'];
    if (request.headers['target-instance'] !== this.id) {
      this.answer(response, 421, attempt, { 'Not-Executed': '1' }, '');
    } else if (this.active >= SLOTS && this.queue.length >= QUEUE) {
      this.record.note(`${this.id} is full and refuses ${attempt}`);
      this.answer(response, 503, attempt, { 'Not-Executed': '1' }, 'full');
    } else {
      this.queue.push({ attempt, response });
      this.runNext();
    }
  }

  runNext() {
    if (this.active >= SLOTS || this.queue.length === 0) return;
    const { attempt, response } = this.queue.shift();
    if (response.destroyed) {
      this.runNext();
      return;
    }
    this.active += 1;
    this.record.note(`${this.id} runs ${attempt}`);
    this.runs.set(attempt, [...(this.runs.get(attempt) ?? []), this.id]);
    setTimeout(
      () => {
        this.active -= 1;
        this.answer(response, 200, attempt, { 'Server-Seal': `seal.${this.id}` }, `by ${this.id}`);
        this.runNext();
      },
      WORK_MS * (0.5 + Math.random()),
    );
  }

  isTroubled() {
    const passed = Date.now() - this.loadStartedAt;
    return TROUBLE_STARTS_MS.some((start) => passed >= start && passed < start + TROUBLE_MS);
  }

  answer(response, status, attempt, headers, body) {
    const { socket } = response;
    if (response.destroyed || socket === null) return;
    const fields = { 'Attempt-Id': attempt, ...headers, 'Content-Length': body.length };
    if (this.isFaulty && this.isTroubled() && Math.random() < EXTRA_SHARE) {
      const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}`);
      const head = [`HTTP/1.1 ${status} ${http.STATUS_CODES[status]}`, ...lines].join('\r\n');
      this.late.set(socket, `${head}\r\n\r\n${body}`);
      this.extraAnswers += 1;
      if (status === 503) this.extraRefusals += 1;
    }
    response.writeHead(status, fields).end(body);
  }
}

async function play({ hasTrouble, record }) {
  const runs = new Map();
  const runners = Array.from(
    { length: RUNNERS },
    (_, index) => new Runner(`i-${index}`, hasTrouble && index < FAULTY_RUNNERS, record, runs),
  );
  const entries = await Promise.all(
    runners.map(async (runner, index) => ({
      id: runner.id,
      entry: deployment.createEntry(SERVICE, await runner.listen(), index, SLOTS),
    })),
  );
  const fleet = new deployment.Deployment();
  const routes = [{ Name: 'hold-book', PathPrefix: '/hold/', Service: SERVICE }];
  try {
    await fleet.start(3, deployment.createConfiguration(routes, [SERVICE]), entries);
    const callers = new clients.Clients(fleet.vms, record);
    runners.forEach((runner) => {
      runner.loadStartedAt = Date.now();
    });
    const answers = await clients.sendAtRandom(REQUESTS_PER_S, LOAD_MS, () =>
      callers.send({ path: '/hold/1', deadlineMs: DEADLINE_MS, body: Buffer.from('a booking') }),
    );
    await deployment.pause(QUIET_MS);
    callers.close();
    const statuses = new Map();
    answers.forEach(({ status }) => statuses.set(status, (statuses.get(status) ?? 0) + 1));
    const twice = [...runs].filter(([, ids]) => ids.length > 1);
    const refused = answers.filter(({ id, status }) => PROMISES.has(status) && runs.has(id));
    return {
      violations: [
        ...twice.map(([attempt, ids]) => `TWICE: ${attempt} ran at ${ids.join(' and ')}`),
        ...refused.map(({ id, status }) => `REFUSED: ${id} was answered ${status} and has run`),
      ],
      summary: [
        `${answers.length} requests, answers ${JSON.stringify([...statuses])}`,
        `second copies: ${sum(runners, 'extraAnswers')}, of refusals ${sum(runners, 'extraRefusals')}`,
      ],
    };
  } finally {
    await fleet.stop();
    runners.forEach((runner) => runner.close());
  }
}

function sum(runners, field) {
  return runners.reduce((total, runner) => total + runner[field], 0);
}

await runCase.runCase(import.meta.dirname, play);
