import * as clock from '@limpettack/clock';
import * as testKit from '@limpettack/test-kit';
import * as verdictsModule from './Verdicts.mjs';

const { PROMISES } = verdictsModule;
const { ACTION_ROUTE, SERVICE_ROUTE } = testKit.FLEET_NAMES;

/** Time in which a program of at most six short turns ends under faults of at most 8 s each. */
const PROGRAM_BOUND_MS = 45_000;
/** Time in which an order that is sent again and again is answered for good. */
const ORDER_BOUND_MS = 45_000;
const TRY_LIMIT_MS = 8_000;
const ORDER_GAP_MS = 80;
const CALL_GAP_MS = 60;
const RESEND_GAP_MS = 250;
const HAMMER_GAP_MS = 25;

const time = new clock.SystemClock();

/** What a seed's loads share: fleet, caller, picker of VMs, verdicts and the end of the load. */

/** Runs programs one after the other until the load ends; each is ended and checked. */
export async function runPrograms(load, random, lane) {
  for (let count = 0; time.now() < load.deadline; count += 1) {
    await runProgram(load, random, `${lane}-${count}`);
  }
}

async function runProgram(load, random, name) {
  const { verdicts } = load;
  const startedAt = time.now();
  const turns = random.integer(1, 6);
  let runner;
  try {
    runner = await testKit.ProgramRunner.open(load.caller, load.pickVm);
    load.programs.add(runner.program);
    for (let turn = 1; turn <= turns; turn += 1) {
      const tokens = random.integer(4, 40);
      await runner.turn(`${name} of ${load.seed}, turn ${turn} generate=${tokens}`, tokens);
      verdicts.check(PROMISES.ORDER_AND_HISTORY, true);
      await time.sleep(random.between(0, 300));
    }
    await runner.end();
    verdicts.count('programs completed');
    const span = time.now() - startedAt;
    verdicts.raise('slowest program, ms', Math.round(span));
    verdicts.check(PROMISES.BOUNDED_TIME, span < PROGRAM_BOUND_MS, `${name}: ${span} ms`);
  } catch (error) {
    const text = `${load.stamp()} ${name} ${runner?.program}: ${error.message}`;
    const isMixed = /digest|turn-mismatch|history|program-unknown/.test(error.message);
    const promise = isMixed ? PROMISES.ORDER_AND_HISTORY : PROMISES.BOUNDED_TIME;
    verdicts.check(promise, false, text);
  }
}

/** Sends orders that must not be repeated, some through two VMs at once, each until answered. */
export async function runOrders(load, random) {
  const sending = [];
  for (let count = 0; time.now() < load.deadline; count += 1) {
    const key = `order-${load.seed}-${count}`;
    const senders = random.next() < 0.3 ? 2 : 1;
    const order = { key, answers: [], last: [] };
    load.orders.push(order);
    for (let sender = 0; sender < senders; sender += 1) sending.push(resend(load, order));
    await time.sleep(ORDER_GAP_MS);
  }
  await Promise.all(sending);
}

async function resend(load, order) {
  const deadline = time.now() + ORDER_BOUND_MS;
  const body = JSON.stringify({ order: order.key });
  const options = { route: ACTION_ROUTE, idempotencyKey: order.key, body, timeoutMs: TRY_LIMIT_MS };
  for (;;) {
    const answer = await load.caller.service(load.pickVm(), options);
    order.answers.push(answer);
    const isFinal = isOfService(answer) || answer.text.includes('"outcome-unknown"');
    if (isFinal || time.now() > deadline) {
      const what = () => `${load.stamp()} ${order.key}: ${answer.status} ${answer.text}`;
      load.verdicts.check(PROMISES.BOUNDED_TIME, isFinal, what);
      return;
    }
    await time.sleep(RESEND_GAP_MS);
  }
}

/** Whether the service itself has answered, also with an error of its own. */
function isOfService(answer) {
  return answer.status !== 0 && JSON.parse(answer.text).kind === undefined;
}

/** Makes calls of their own, models and services in turn, each sent once. */
export async function runSingleCalls(load) {
  const sending = [];
  for (let count = 0; time.now() < load.deadline; count += 1) {
    sending.push(sendSingle(load, `single-${load.seed}-${count}-end`, count % 2 === 0));
    await time.sleep(CALL_GAP_MS);
  }
  await Promise.all(sending);
}

async function sendSingle(load, text, isModel) {
  const startedAt = time.now();
  const body = JSON.stringify({ text });
  const limits = { deadlineMs: 15_000, timeoutMs: 30_000 };
  const answer = isModel
    ? await load.caller.chat(load.pickVm(), { text, ...limits })
    : await load.caller.service(load.pickVm(), { route: SERVICE_ROUTE, body, ...limits });
  load.singles.push({ text, answer });
  const span = time.now() - startedAt;
  load.verdicts.raise('slowest single call, ms', Math.round(span));
  if (answer.status !== 200) return;
  const isWhole = isModel ? isWholeChat(text, answer) : JSON.parse(answer.text).body === body;
  load.verdicts.check(PROMISES.WHOLE_ANSWERS, isWhole, () => `${text}: ${answer.text}`);
}

function isWholeChat(text, answer) {
  const digest = testKit.digestOfHistory([{ role: 'user', content: text }]);
  const content = testKit.contentOf(answer);
  return content.startsWith(`digest=${digest};`) && content.split(' ').length === 8;
}

/** Sends requests of the limited workspace at a steady pace, over its rate. */
export async function runLimited(load) {
  const caller = new testKit.Caller(load.limitedKey, testKit.FLEET_NAMES.MODEL_ROUTE);
  const sending = [];
  while (time.now() < load.deadline) {
    sending.push(sendLimited(load, caller));
    await time.sleep(HAMMER_GAP_MS);
  }
  await Promise.all(sending);
}

async function sendLimited(load, caller) {
  const sentAt = time.now();
  const options = { route: SERVICE_ROUTE, body: '{}', timeoutMs: TRY_LIMIT_MS };
  const answer = await caller.service(load.pickVm(), options);
  load.limited.push({ sentAt, answeredAt: time.now(), isAdmitted: answer.status === 200 });
}

/** Runs programs with small budgets until they are refused for it. */
export async function runBudgets(load, random) {
  for (let count = 0; time.now() < load.deadline; count += 1) {
    const budget = { tokens: random.integer(20, 120), calls: random.integer(2, 12) };
    await runBudget(load, budget).catch((error) => load.verdicts.count(`budget: ${error.message}`));
  }
}

async function runBudget(load, budget) {
  const { caller, pickVm } = load;
  const { program } = await testKit.ProgramRunner.open(caller, pickVm, { budget });
  load.programs.add(program);
  const used = { program, budget, tokens: 0, calls: 0 };
  load.budgets.push(used);
  const deadline = time.now() + PROGRAM_BOUND_MS;
  while (time.now() < deadline) {
    const place = { program, turn: used.calls + 1, text: `spend ${used.calls}` };
    const answer = await caller.chat(pickVm(), { ...place, maximumTokens: 10, timeoutMs: 15_000 });
    if (answer.status === 200) {
      used.calls += 1;
      used.tokens += JSON.parse(answer.text).usage.completion_tokens;
    } else if (answer.text.includes('"budget-exhausted"')) {
      load.verdicts.count('budgets used up');
      return;
    } else {
      await time.sleep(RESEND_GAP_MS);
    }
  }
}
