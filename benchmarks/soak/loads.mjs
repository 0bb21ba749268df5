import * as clock from '@limpettack/clock';
import * as testKit from '@limpettack/test-kit';
import * as verdictsModule from './Verdicts.mjs';

const { PROMISES } = verdictsModule;
const { ACTION_ROUTE, SERVICE_ROUTE } = testKit.FLEET_NAMES;

/** Time in which a program of at most six short turns must end under faults of at most 8 s each. */
const PROGRAM_TIMEOUT_MS = 45_000;
/** Time in which an order that is sent repeatedly must get a final response. */
const ORDER_TIMEOUT_MS = 45_000;
const ATTEMPT_TIMEOUT_MS = 8_000;
const ORDER_GAP_MS = 80;
const CALL_GAP_MS = 60;
const RESEND_GAP_MS = 250;
const LIMITED_GAP_MS = 25;

const time = new clock.SystemClock();

// Every function takes `load`, the state that all loads of a seed share: caller, choice of VMs,
// verdicts, end of the load and records of what was sent. See createLoad in runSeed.mjs.

/** Runs programs one after the other until the load ends. Each program is ended and checked. */
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
    const durationMs = time.now() - startedAt;
    verdicts.raise('slowest program, ms', Math.round(durationMs));
    verdicts.check(
      PROMISES.BOUNDED_TIME,
      durationMs < PROGRAM_TIMEOUT_MS,
      `${name}: ${durationMs} ms`,
    );
  } catch (error) {
    const text = `${load.formatElapsed()} ${name} ${runner?.program}: ${error.message}`;
    const isHistoryError = /digest|turn-mismatch|history|program-unknown/.test(error.message);
    const promise = isHistoryError ? PROMISES.ORDER_AND_HISTORY : PROMISES.BOUNDED_TIME;
    verdicts.check(promise, false, text);
  }
}

/**
 * Sends orders that must not be repeated, some of them through two VMs at once. Each order is sent
 * until it gets a final response.
 */
export async function runOrders(load, random) {
  const pending = [];
  for (let count = 0; time.now() < load.deadline; count += 1) {
    const key = `order-${load.seed}-${count}`;
    const senders = random.next() < 0.3 ? 2 : 1;
    const order = { key, answers: [], last: [] };
    load.orders.push(order);
    for (let sender = 0; sender < senders; sender += 1) pending.push(sendUntilFinal(load, order));
    await time.sleep(ORDER_GAP_MS);
  }
  await Promise.all(pending);
}

async function sendUntilFinal(load, order) {
  const deadline = time.now() + ORDER_TIMEOUT_MS;
  const body = JSON.stringify({ order: order.key });
  const options = {
    route: ACTION_ROUTE,
    idempotencyKey: order.key,
    body,
    timeoutMs: ATTEMPT_TIMEOUT_MS,
  };
  for (;;) {
    const answer = await load.caller.service(load.pickVm(), options);
    order.answers.push(answer);
    const isFinal = isServiceResponse(answer) || answer.text.includes('"outcome-unknown"');
    if (isFinal || time.now() > deadline) {
      const detail = () => `${load.formatElapsed()} ${order.key}: ${answer.status} ${answer.text}`;
      load.verdicts.check(PROMISES.BOUNDED_TIME, isFinal, detail);
      return;
    }
    await time.sleep(RESEND_GAP_MS);
  }
}

/** Whether the response comes from the service itself, also if it is an error of the service. */
function isServiceResponse(answer) {
  return answer.status !== 0 && JSON.parse(answer.text).kind === undefined;
}

/** Makes calls without a program, to models and services alternately. Each is sent once. */
export async function runSingleCalls(load) {
  const pending = [];
  for (let count = 0; time.now() < load.deadline; count += 1) {
    pending.push(sendSingle(load, `single-${load.seed}-${count}-end`, count % 2 === 0));
    await time.sleep(CALL_GAP_MS);
  }
  await Promise.all(pending);
}

async function sendSingle(load, text, isModel) {
  const startedAt = time.now();
  const body = JSON.stringify({ text });
  const limits = { deadlineMs: 15_000, timeoutMs: 30_000 };
  const answer = isModel
    ? await load.caller.chat(load.pickVm(), { text, ...limits })
    : await load.caller.service(load.pickVm(), { route: SERVICE_ROUTE, body, ...limits });
  load.singleCalls.push({ text, answer });
  const durationMs = time.now() - startedAt;
  load.verdicts.raise('slowest single call, ms', Math.round(durationMs));
  if (answer.status !== 200) return;
  const isComplete = isModel ? isCompleteChat(text, answer) : JSON.parse(answer.text).body === body;
  load.verdicts.check(PROMISES.WHOLE_ANSWERS, isComplete, () => `${text}: ${answer.text}`);
}

function isCompleteChat(text, answer) {
  const digest = testKit.digestOfHistory([{ role: 'user', content: text }]);
  const content = testKit.contentOf(answer);
  return content.startsWith(`digest=${digest};`) && content.split(' ').length === 8;
}

/** Sends requests of the limited workspace at a constant rate that exceeds its limit. */
export async function runLimited(load) {
  const caller = new testKit.Caller(load.limitedKey, testKit.FLEET_NAMES.MODEL_ROUTE);
  const pending = [];
  while (time.now() < load.deadline) {
    pending.push(sendLimited(load, caller));
    await time.sleep(LIMITED_GAP_MS);
  }
  await Promise.all(pending);
}

async function sendLimited(load, caller) {
  const sentAt = time.now();
  const options = { route: SERVICE_ROUTE, body: '{}', timeoutMs: ATTEMPT_TIMEOUT_MS };
  const answer = await caller.service(load.pickVm(), options);
  load.limitedRequests.push({ sentAt, answeredAt: time.now(), isAdmitted: answer.status === 200 });
}

/** Runs programs with small budgets until each is refused because its budget is exhausted. */
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
  const deadline = time.now() + PROGRAM_TIMEOUT_MS;
  while (time.now() < deadline) {
    const call = { program, turn: used.calls + 1, text: `spend ${used.calls}` };
    const answer = await caller.chat(pickVm(), { ...call, maximumTokens: 10, timeoutMs: 15_000 });
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
