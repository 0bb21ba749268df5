import * as timers from 'node:timers/promises';
import * as undici from 'undici';
import * as verdictsModule from '../soak/Verdicts.mjs';
import * as createAttemptId from './createAttemptId.mjs';

const { PROMISES } = verdictsModule;

const DEADLINE_MS = 3_000;
/** A VM answers by the deadline; one that was frozen or ended meanwhile cannot. */
const CALLER_PATIENCE_MS = 4_500;
const RETRY_MS = 150;
const LONGEST_RETRY_MS = 1_000;
const TURNS = 4;
const MOST_TOKENS = 100;
const TOKENS_AN_EVENT = 20;
const LOOP_BUDGET = 900;
const LOOP_REFUSALS = 2;
/** Statuses that say that a request has not run and never will. */
const NOT_RUN = new Set([402, 429, 503]);
/** Statuses that must not come while the tables allow the request. */
const DENIED = new Set([400, 401, 403, 404, 410, 413]);
/** Characters of a body that are shown where it differs from the one wanted. */
const SHOWN_CHARACTERS = 60;

/** Programs of callers, and what they saw. */
export class Programs {
  constructor({ fleet, random, verdicts }) {
    Object.assign(this, { fleet, random, verdicts });
    this.attempts = 0;
    /** Attempts that were said not to have run. */
    this.notRun = [];
    /** The body that each turn's target is to get, by attempt. */
    this.expected = new Map();
    /** Attempts at orders, which must run once at most. */
    this.orders = new Map();
    this.isEnding = false;
  }

  /** One attempt at one of the VMs. */
  async attempt(path, body, headers) {
    this.attempts += 1;
    const id = createAttemptId.createAttemptId(`attempt ${this.attempts}`);
    const vm = this.random.pick(this.fleet.vms);
    try {
      const response = await undici.request(`http://127.0.0.1:${vm.callers}${path}`, {
        method: 'POST',
        body,
        headers: {
          host: 'host.example',
          authorization: 'Bearer key-1',
          'attempt-id': id,
          'deadline-ms': String(DEADLINE_MS),
          ...headers,
        },
        signal: globalThis.AbortSignal.timeout(CALLER_PATIENCE_MS),
      });
      const { headers: fields, statusCode: status } = response;
      let text = '';
      let isWhole = true;
      try {
        for await (const chunk of response.body) text += chunk;
      } catch {
        isWhole = false;
      }
      if (NOT_RUN.has(status)) this.notRun.push(id);
      this.verdicts.count(`answers with ${status}${isWhole ? '' : ', broken off'}`);
      return {
        id,
        status,
        text,
        isWhole,
        retryAfterMs: 1_000 * Number(fields['retry-after'] ?? 0),
      };
    } catch {
      this.verdicts.count('attempts without an answer');
      return { id, status: 0, text: '', isWhole: false, retryAfterMs: 0 };
    }
  }

  /** Turns that go on from each other, with an order between them. */
  async runChain(name, deadline) {
    let previous;
    let history = '';
    for (let turn = 0; turn < TURNS; turn += 1) {
      const input = `${name} turn ${turn};`;
      const answer = await this.runTurn({ name, input, previous, history, deadline });
      if (answer === undefined) return;
      history += input + dataOf(answer);
      previous = answer.id;
      await this.order(`${name} order ${turn}`);
    }
    this.verdicts.count('programs that ended');
  }

  /**
   * Tries a turn until it is answered; nothing when it may not be answered any more.
   * @param turn.deadline Returns until when, which is not known before the last fault.
   */
  async runTurn({ deadline, ...turn }) {
    const tries = [];
    while (Date.now() < deadline()) {
      const answer = await this.tryTurn({ ...turn, tries });
      if (answer === undefined) return undefined;
      if (answer.status === 200 && answer.isWhole) return answer;
      await pause(answer);
    }
    this.verdicts.check(PROMISES.BOUNDED_TIME, false, () => `found no end: ${told(turn, tries)}`);
    return undefined;
  }

  /** One try at a turn, noted among its tries; nothing when the answer must not come. */
  async tryTurn({ name, input, previous, history, tries }) {
    const headers = {
      'program-id': name,
      'session-id': name,
      'token-budget': String(TURNS * 40 * MOST_TOKENS),
      'token-usage': `10,${MOST_TOKENS}`,
      ...(previous === undefined ? {} : { 'previous-turn': previous }),
    };
    const startedAt = Date.now();
    const answer = await this.attempt('/kept/x', input, headers);
    const { id, isWhole, status, text } = answer;
    tries.push({ id, status, spanMs: Date.now() - startedAt });
    this.expected.set(id, history + input);
    const isAllowed = !DENIED.has(status) && status !== 402;
    const detail = () => `${status} must not come: ${told({ name, previous }, tries)}`;
    this.verdicts.check(PROMISES.ORDER_AND_HISTORY, isAllowed, detail);
    if (status === 200 && isWhole) this.checkEvents(name, text);
    return isAllowed ? answer : undefined;
  }

  checkEvents(name, text) {
    const ids = [...text.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
    const isWhole = ids.length > 0 && ids.every((id, index) => id === index + 1);
    this.verdicts.check(PROMISES.WHOLE_ANSWERS, isWhole, `${name}: events ${ids.join(' ')}`);
  }

  /** An order is sent again only while it surely has not run. */
  async order(body) {
    const ids = [];
    this.orders.set(body, ids);
    for (let tries = 0; tries < 20; tries += 1) {
      const answer = await this.attempt('/once/x', body, {});
      ids.push(answer.id);
      if (answer.status !== 503 && answer.status !== 429) return;
      await pause(answer);
    }
  }

  /** Turns without end, in parallel, until the budget is spent. */
  async runLoop(name) {
    let tokens = 0;
    let refusals = 0;
    const headers = {
      'program-id': name,
      'session-id': name,
      'token-budget': String(LOOP_BUDGET),
      'token-usage': `10,${MOST_TOKENS}`,
    };
    const line = async () => {
      while (refusals < LOOP_REFUSALS && !this.isEnding) {
        const answer = await this.attempt('/plain/x', `${name};`, headers);
        tokens += TOKENS_AN_EVENT * (answer.text.match(/^data: /gm)?.length ?? 0);
        if (answer.status === 402) refusals += 1;
        if (answer.status !== 200) await pause(answer);
      }
    };
    await Promise.all([line(), line()]);
    const isHeld = tokens <= LOOP_BUDGET + MOST_TOKENS;
    this.verdicts.check(PROMISES.BUDGET, isHeld, `${name}: ${tokens} of ${LOOP_BUDGET}`);
  }

  /** Judges what callers saw by what the targets ran. */
  checkRuns(engines) {
    const runs = engines.flatMap(({ runs: list }) => list);
    const ran = new Set(runs.map(({ attempt }) => attempt));
    this.notRun.forEach((id) => {
      this.verdicts.check(PROMISES.NOT_RUN, !ran.has(id), `${id} was refused and has run`);
    });
    runs.forEach(({ attempt, body }) => {
      const wanted = this.expected.get(attempt);
      if (wanted === undefined) return;
      const detail = () => `${attempt}: ${difference(body, wanted)}`;
      this.verdicts.check(PROMISES.ORDER_AND_HISTORY, body === wanted, detail);
    });
    this.orders.forEach((ids, body) => {
      const count = runs.filter((run) => run.body === body).length;
      this.verdicts.check(PROMISES.AT_MOST_ONCE, count <= 1, `${body} ran ${count} times: ${ids}`);
    });
  }
}

/** Callers come back when they are told to, or soon. */
export function pause({ retryAfterMs }) {
  return timers.setTimeout(Math.min(LONGEST_RETRY_MS, Math.max(RETRY_MS, retryAfterMs)));
}

/** What an answer adds to the history. */
export function dataOf({ text }) {
  return [...text.matchAll(/^data: (.*)$/gm)].map(([, data]) => `${data}\n`).join('');
}

/** A turn and its tries, in words. */
export function told({ name, previous = 'none' }, tries) {
  const answered = tries.filter(({ status }) => status !== 0);
  const shown = answered.map(({ id, spanMs, status }) => `${id} ${status} in ${spanMs} ms`);
  const counts = `${tries.length} tries, ${tries.length - answered.length} without an answer`;
  return `${name} after turn ${previous}; ${[counts, ...shown].join(', ')}`;
}

function difference(body, wanted) {
  const at = [...wanted].findIndex((character, index) => body[index] !== character);
  const from = at < 0 ? wanted.length : at;
  const shown = (text) =>
    `${text.length} characters, "${text.slice(from, from + SHOWN_CHARACTERS)}"`;
  return `got ${shown(body)}, wanted ${shown(wanted)} from ${from} on`;
}
