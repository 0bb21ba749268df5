import * as timers from 'node:timers/promises';
import * as undici from 'undici';
import * as verdictsModule from '../soak/Verdicts.mjs';
import * as createAttemptId from './createAttemptId.mjs';

const { PROMISES } = verdictsModule;

const DEADLINE_MS = 3_000;
/** Longer than the deadline, by which a VM responds unless it is suspended or ended meanwhile. */
const CALLER_TIMEOUT_MS = 4_500;
const MINIMUM_RETRY_MS = 150;
const MAXIMUM_RETRY_MS = 1_000;
const TURNS = 4;
const MAXIMUM_TOKENS = 100;
const TOKENS_PER_EVENT = 20;
const LOOP_BUDGET = 900;
const LOOP_REFUSALS = 2;
/** Statuses which state that a request has not run and never will. */
const NOT_RUN = new Set([402, 429, 503]);
/** Statuses that must not occur, because the tables allow the request. */
const DENIED = new Set([400, 401, 403, 404, 410, 413]);
/** Characters of a body to print from its first difference from the expected body. */
const SHOWN_CHARACTERS = 60;

/** Generates load as callers with programs do, records the responses and checks them. */
export class ProgramLoad {
  constructor({ fleet, random, verdicts }) {
    Object.assign(this, { fleet, random, verdicts });
    this.attempts = 0;
    /** Ids of the attempts that were refused as not run. */
    this.notRun = [];
    /** The body that a target must receive, by id of the attempt. */
    this.expected = new Map();
    /** Ids of the attempts at each order, by body; an order must run at most once. */
    this.orders = new Map();
    this.isEnding = false;
  }

  /** Sends a request once, to a random VM. Resolves with status 0 when no response came. */
  async attempt(path, body, headers) {
    this.attempts += 1;
    const id = createAttemptId.createAttemptId(`attempt ${this.attempts}`);
    const vm = this.random.pick(this.fleet.vms);
    try {
      const response = await undici.request(`http://127.0.0.1:${vm.callersPort}${path}`, {
        method: 'POST',
        body,
        headers: {
          host: 'host.example',
          authorization: 'Bearer key-1',
          'attempt-id': id,
          'deadline-ms': String(DEADLINE_MS),
          ...headers,
        },
        signal: globalThis.AbortSignal.timeout(CALLER_TIMEOUT_MS),
      });
      const { headers: responseHeaders, statusCode: status } = response;
      let text = '';
      let isComplete = true;
      try {
        for await (const chunk of response.body) text += chunk;
      } catch {
        isComplete = false;
      }
      if (NOT_RUN.has(status)) this.notRun.push(id);
      this.verdicts.count(`answers with ${status}${isComplete ? '' : ', broken off'}`);
      return {
        id,
        status,
        text,
        isComplete,
        retryAfterMs: 1_000 * Number(responseHeaders['retry-after'] ?? 0),
      };
    } catch {
      this.verdicts.count('attempts without an answer');
      return { id, status: 0, text: '', isComplete: false, retryAfterMs: 0 };
    }
  }

  /** Runs turns that each continue the previous one, with an order after each turn. */
  async runChain(name, deadline) {
    let previous;
    let history = '';
    for (let turn = 0; turn < TURNS; turn += 1) {
      const input = `${name} turn ${turn};`;
      const response = await this.runTurn({ name, input, previous, history, deadline });
      if (response === undefined) return;
      history += input + extractEventData(response);
      previous = response.id;
      await this.order(`${name} order ${turn}`);
    }
    this.verdicts.count('programs that ended');
  }

  /**
   * Tries a turn until it gets a complete response. Resolves with undefined when the deadline has
   * passed or a status must not occur; both are recorded as violations.
   * @param turn.deadline Returns the deadline, which is unknown until the last fault has ended.
   */
  async runTurn({ deadline, ...turn }) {
    const tries = [];
    while (Date.now() < deadline()) {
      const response = await this.tryTurn({ ...turn, tries });
      if (response === undefined) return undefined;
      if (response.status === 200 && response.isComplete) return response;
      await waitBeforeRetry(response);
    }
    this.verdicts.check(
      PROMISES.BOUNDED_TIME,
      false,
      () => `did not complete in time: ${describeTries(turn, tries)}`,
    );
    return undefined;
  }

  /** Tries a turn once, adds to `tries` and resolves with undefined if the status is forbidden. */
  async tryTurn({ name, input, previous, history, tries }) {
    const headers = {
      'program-id': name,
      'session-id': name,
      'token-budget': String(TURNS * 40 * MAXIMUM_TOKENS),
      'token-usage': `10,${MAXIMUM_TOKENS}`,
      ...(previous === undefined ? {} : { 'previous-turn': previous }),
    };
    const startedAt = Date.now();
    const response = await this.attempt('/kept/x', input, headers);
    const { id, isComplete, status, text } = response;
    tries.push({ id, status, durationMs: Date.now() - startedAt });
    this.expected.set(id, history + input);
    const isAllowed = !DENIED.has(status) && status !== 402;
    const detail = () =>
      `status ${status} must not occur: ${describeTries({ name, previous }, tries)}`;
    this.verdicts.check(PROMISES.ORDER_AND_HISTORY, isAllowed, detail);
    if (status === 200 && isComplete) this.checkEvents(name, text);
    return isAllowed ? response : undefined;
  }

  checkEvents(name, text) {
    const ids = [...text.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
    const isComplete = ids.length > 0 && ids.every((id, index) => id === index + 1);
    this.verdicts.check(PROMISES.WHOLE_ANSWERS, isComplete, `${name}: events ${ids.join(' ')}`);
  }

  /** Sends an order, and sends it again only while the response states that it has not run. */
  async order(body) {
    const ids = [];
    this.orders.set(body, ids);
    for (let tries = 0; tries < 20; tries += 1) {
      const response = await this.attempt('/once/x', body, {});
      ids.push(response.id);
      if (response.status !== 503 && response.status !== 429) return;
      await waitBeforeRetry(response);
    }
  }

  /** Runs turns in two parallel sequences until the budget is spent. */
  async runLoop(name) {
    let tokens = 0;
    let refusals = 0;
    const headers = {
      'program-id': name,
      'session-id': name,
      'token-budget': String(LOOP_BUDGET),
      'token-usage': `10,${MAXIMUM_TOKENS}`,
    };
    const runTurns = async () => {
      while (refusals < LOOP_REFUSALS && !this.isEnding) {
        const response = await this.attempt('/plain/x', `${name};`, headers);
        tokens += TOKENS_PER_EVENT * (response.text.match(/^data: /gm)?.length ?? 0);
        if (response.status === 402) refusals += 1;
        if (response.status !== 200) await waitBeforeRetry(response);
      }
    };
    await Promise.all([runTurns(), runTurns()]);
    const isWithinBudget = tokens <= LOOP_BUDGET + MAXIMUM_TOKENS;
    this.verdicts.check(PROMISES.BUDGET, isWithinBudget, `${name}: ${tokens} of ${LOOP_BUDGET}`);
  }

  /** Compares the responses that callers received with the calls that the targets ran. */
  checkRuns(engines) {
    const runs = engines.flatMap(({ runs: list }) => list);
    const ran = new Set(runs.map(({ attempt }) => attempt));
    this.notRun.forEach((id) => {
      this.verdicts.check(
        PROMISES.NOT_RUN,
        !ran.has(id),
        `${id} was refused as not run but has run`,
      );
    });
    runs.forEach(({ attempt, body }) => {
      const expected = this.expected.get(attempt);
      if (expected === undefined) return;
      const detail = () => `${attempt}: ${describeDifference(body, expected)}`;
      this.verdicts.check(PROMISES.ORDER_AND_HISTORY, body === expected, detail);
    });
    this.orders.forEach((ids, body) => {
      const count = runs.filter((run) => run.body === body).length;
      this.verdicts.check(PROMISES.AT_MOST_ONCE, count <= 1, `${body} ran ${count} times: ${ids}`);
    });
  }
}

/** Waits as long as the response asks in `retry-after`, within limits. */
export function waitBeforeRetry({ retryAfterMs }) {
  return timers.setTimeout(Math.min(MAXIMUM_RETRY_MS, Math.max(MINIMUM_RETRY_MS, retryAfterMs)));
}

/** Returns the event data of a response, which becomes part of the history. */
export function extractEventData({ text }) {
  return [...text.matchAll(/^data: (.*)$/gm)].map(([, data]) => `${data}\n`).join('');
}

/** Describes a turn and its tries in a violation. */
export function describeTries({ name, previous = 'none' }, tries) {
  const responded = tries.filter(({ status }) => status !== 0);
  const shown = responded.map(
    ({ id, durationMs, status }) => `${id} ${status} in ${durationMs} ms`,
  );
  const counts = `${tries.length} tries, ${tries.length - responded.length} without a response`;
  return `${name} after turn ${previous}; ${[counts, ...shown].join(', ')}`;
}

function describeDifference(body, expected) {
  const at = [...expected].findIndex((character, index) => body[index] !== character);
  const from = at < 0 ? expected.length : at;
  const shown = (text) =>
    `${text.length} characters, "${text.slice(from, from + SHOWN_CHARACTERS)}"`;
  return `got ${shown(body)}, expected ${shown(expected)} from ${from} on`;
}
