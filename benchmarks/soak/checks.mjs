import * as testKit from '@limpettack/test-kit';
import * as undici from 'undici';
import * as verdictsModule from './Verdicts.mjs';

const { PROMISES } = verdictsModule;
const MEMORY_TIMEOUT_MS = 45_000;
const VERSION_TIMEOUT_MS = 10_000;
const POLL_INTERVAL_MS = 500;
const ROUNDING_TOLERANCE = 1e-6;
/** Matches a warning of Node.js and its stack trace. */
const WARNING_PATTERN = /^\(node:\d+\).*(?:\n +at .*)*/gm;

/** Checks the promises by what targets executed and callers received. */
export async function checkAll(load, fleet, limits) {
  const journals = await Promise.all(fleet.targets.map(({ target }) => target.journal()));
  const entries = journals.flat();
  checkSingleCalls(load, entries);
  checkKeys(load, entries);
  checkBudgets(load, entries);
  checkLimits(load, limits);
  await checkOrders(load, fleet);
  await checkVersions(load, fleet);
  await checkMemory(load, fleet);
  await checkProcesses(load, fleet);
}

async function checkProcesses(load, fleet) {
  await Promise.all(
    fleet.vms.map(async (vm) => {
      const isAlive = vm.process.isRunning;
      const output = vm.process.output.replace(/file:.*?(?=packages)/g, '');
      load.warnings.push(...(output.match(WARNING_PATTERN) ?? []));
      const exit = isAlive ? undefined : JSON.stringify(await vm.process.exited);
      const detail = () => `${vm.name} ended with ${exit}: ${vm.process.output.slice(-1_000)}`;
      load.verdicts.check(PROMISES.PROCESSES, isAlive, detail);
    }),
  );
}

function isReportedNotRun(answer) {
  return answer.status >= 400 && testKit.refusalOf(answer).run === 'not-run';
}

function checkSingleCalls(load, entries) {
  const bodies = entries.map((entry) => entry.body);
  load.verdicts.count('single calls', load.singleCalls.length);
  load.singleCalls.forEach(({ text, answer }) => {
    const kind = answer.status === 200 ? 'answered' : formatKind(answer);
    load.verdicts.count(`single calls ${kind}`);
    if (!isReportedNotRun(answer)) return;
    const ran = bodies.some((body) => body.includes(text));
    load.verdicts.check(PROMISES.NOT_RUN, !ran, () => `${text}: ${answer.text}`);
  });
}

function formatKind(answer) {
  return answer.status === 0 ? 'without an answer' : testKit.refusalOf(answer).kind;
}

async function checkOrders(load, fleet) {
  const services = fleet.targets.filter((target) => target.row.kind === 'service');
  const counts = await Promise.all(services.map(({ target }) => target.executions()));
  load.orders.forEach(({ key, answers }) => {
    const executed = counts.reduce((sum, { byKey }) => sum + (byKey[key] ?? 0), 0);
    const complete = answers.filter((answer) => answer.status === 200);
    const describe = () =>
      `${key}: executed ${executed}, ${answers.map((one) => one.text).join(' | ')}`;
    load.verdicts.check(PROMISES.AT_MOST_ONCE, executed <= 1, describe);
    if (complete.length > 0) {
      load.verdicts.check(PROMISES.AT_MOST_ONCE, executed === 1, describe);
      const texts = new Set(complete.map((answer) => answer.text));
      load.verdicts.check(PROMISES.WHOLE_ANSWERS, texts.size === 1, describe);
    }
    load.verdicts.count('orders');
    if (complete.length === 0) load.verdicts.count('orders whose outcome is not known');
    if (answers.every(isReportedNotRun))
      load.verdicts.check(PROMISES.NOT_RUN, executed === 0, describe);
  });
}

function checkKeys(load, entries) {
  entries.forEach((entry) => {
    const text = JSON.stringify(entry);
    const leaked = load.keys.find((key) => text.includes(key));
    load.verdicts.check(PROMISES.ISOLATION, leaked === undefined, () => `${leaked}: ${text}`);
  });
}

function checkBudgets(load, entries) {
  load.budgets.forEach(({ program, budget, tokens, calls }) => {
    const detail = `${program}: tokens ${tokens} of ${budget.tokens}, calls ${calls} of ${budget.calls}`;
    const isWithinBudget = tokens <= budget.tokens && calls <= budget.calls;
    load.verdicts.check(PROMISES.BUDGET, isWithinBudget, detail);
    const sent = entries.filter(
      (entry) => entry.program === program && entry.path.startsWith('/v1/chat/'),
    );
    const finished = sent.filter((entry) => entry.outcome === 'finished');
    const generated = finished.reduce((sum, entry) => sum + JSON.parse(entry.body).max_tokens, 0);
    load.verdicts.check(
      PROMISES.BUDGET,
      generated <= budget.tokens,
      () => `${detail}; engines generated ${generated}: ${sent.map(formatCall).join(', ')}`,
    );
  });
}

function formatCall({ callId, startedAtMs, finishedAtMs, outcome, body }) {
  const { messages } = JSON.parse(body);
  const period = `${Math.round(startedAtMs)} to ${Math.round(finishedAtMs)}`;
  return `${callId.split(':').slice(1).join(':')} of ${messages.length} messages ${outcome} ${period}`;
}

/**
 * Checks the rate limit over every window from the sending of one admitted request to the response
 * of another one.
 */
function checkLimits(load, { ratePerSecond, burst }) {
  const admitted = load.limitedRequests
    .filter((one) => one.isAdmitted)
    .sort((left, right) => left.answeredAt - right.answeredAt);
  load.verdicts.count('limited requests', load.limitedRequests.length);
  load.verdicts.count('limited requests admitted', admitted.length);
  admitted.forEach(({ sentAt }) => {
    let count = 0;
    let worst = -Infinity;
    admitted.forEach((last) => {
      if (last.sentAt < sentAt) return;
      count += 1;
      const allowed = burst + (ratePerSecond * (last.answeredAt - sentAt)) / 1_000;
      worst = Math.max(worst, count - allowed);
    });
    const detail = () => `window from ${sentAt}: ${worst.toFixed(2)} too many`;
    load.verdicts.check(PROMISES.LIMITS, worst <= ROUNDING_TOLERANCE, detail);
  });
}

async function checkVersions(load, fleet) {
  const running = fleet.vms.filter((vm) => vm.process.isRunning);
  const describeVms = () => Promise.all(running.map((vm) => vm.describeFleet()));
  let versions = [];
  const isInEffect = await testKit
    .waitFor(
      async () => {
        versions = (await describeVms()).map((view) => view.configurationVersion);
        return versions.every((version) => version >= load.version) && new Set(versions).size === 1;
      },
      { what: 'the version', timeoutMs: VERSION_TIMEOUT_MS, intervalMs: POLL_INTERVAL_MS },
    )
    .then(() => true)
    .catch(() => false);
  const detail = () => `${versions.join(', ')} instead of ${load.version}`;
  load.verdicts.check(PROMISES.CONFIGURATION, isInEffect, detail);
}

async function checkMemory(load, fleet) {
  const engines = fleet.targets.filter((target) => target.row.kind === 'engine');
  const held = new Map(engines.map((engine) => [engine.name, ['unknown']]));
  const read = async (engine) => {
    const answer = await undici.request(`http://${engine.target.address}/v1/sessions`);
    const { sessions } = await answer.body.json();
    held.set(
      engine.name,
      sessions.map((session) => session.program),
    );
  };
  await testKit
    .waitFor(
      async () => {
        await Promise.all(engines.map(read));
        return [...held.values()].every((list) => list.length === 0);
      },
      { what: 'empty engines', timeoutMs: MEMORY_TIMEOUT_MS, intervalMs: POLL_INTERVAL_MS },
    )
    .catch(() => undefined);
  held.forEach((list, engine) => {
    const detail = () => `${engine} holds ${list.join(', ')}`;
    load.verdicts.check(PROMISES.ENGINE_MEMORY, list.length === 0, detail);
  });
}
