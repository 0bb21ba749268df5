import * as jestGlobals from '@jest/globals';
import type * as unreplicatedLimits from '@limpettack/unreplicated-limits';
import * as clock from '@limpettack/clock';
import type * as errors from '@limpettack/errors';
import * as keyedLogTesting from '@limpettack/keyed-log/testing';
import * as turns from '@limpettack/turns';
import * as wireTesting from '@limpettack/wire/testing';
import * as trueMyth from 'true-myth';
import * as routeKinds from './RouteKinds.js';
import * as sendFailures from './SendFailures.js';
import * as fixtures from './testing/gatewayFixtures.js';
import * as standIns from './testing/gatewayStandIns.js';
import * as recordedLogger from './testing/RecordedLogger.js';
import * as recordedReply from './testing/RecordedReply.js';
import * as scriptedTransport from './testing/ScriptedTransport.js';
import * as slowLog from './testing/SlowLog.js';
import type { Call } from './Types.js';

const { afterEach, describe, expect, test } = jestGlobals;

const STREAM = { kind: routeKinds.ROUTE_KINDS.STREAM };
const RETAINING = { ...STREAM, retainsTurns: true, timeoutMs: 3_000 };

/** Timeout of the requests. */
const TIMEOUT_MS = 1_000;

/** Total time that a caller has for its attempts. */
const CALLER_MS = 3_000;

/** A caller waits at most this share of its remaining time before it retries. */
const RETRY_SHARE = 1 / 3;

/** Callers with less remaining time do not retry. */
const MINIMUM_RETRY_MS = 200;

/** Number of concurrent turns that continue retained turns. */
const LOAD = 200;

const RETENTION_MS = 60_000;

/** The history of a turn. */
const EARLIER = [{ id: 't1', offset: 7, writer: 'vm-1:80', writtenAt: 1_000 }];

/** Step of the manual clock. */
const STEP_MS = 5;

const stores: turns.LoggedTurnStore[] = [];

afterEach(() => stores.splice(0).forEach((store) => store.dispose()));

/** One attempt of a caller. */
interface Attempt {
  readonly spanMs: clock.Milliseconds;
  readonly timeoutMs: clock.Milliseconds;
  readonly reply: recordedReply.RecordedReply;
}

describe('Gateway', () => {
  test.each([1_400, 1_800])(
    'turns that continue retained turns are refused in time while a listing of the log takes %d ms, and are served on retry',
    async (answerMs) => {
      const { attempts, budgets, logger, transport } = await loadSlowLog(answerMs, CALLER_MS);
      const refused = attempts.flatMap((all) => all.slice(0, -1));
      expect(refused.length).toBeGreaterThanOrEqual(LOAD);
      refused.forEach((attempt) => expectRefusedInTime(attempt, 'log-unavailable'));
      attempts.forEach((all) => expect(all.at(-1)?.reply.outcome).toBe('ended'));
      expect(transport.sent).toHaveLength(LOAD);
      transport.sent.forEach(({ request }) =>
        expect(Buffer.from(request.body).toString()).toMatch(/^first-(\d+);second-\1;new;$/),
      );
      expect(budgets.openReservations.size).toBe(0);
      expect(budgets.settlements.filter(({ tokens }) => tokens === 0)).toHaveLength(refused.length);
      const lines = logger.lines.filter(({ fields }) => fields.kind === 'history');
      expect(lines).toHaveLength(refused.length);
      expect(lines[0]?.fields).toMatchObject({ request: 'program-0/0', spanMs: 1_350 });
    },
  );

  test('turns whose history cannot be read from the log are refused in time at each attempt', async () => {
    const { attempts, budgets, transport } = await loadSlowLog(4_000, CALLER_MS);
    const all = attempts.flat();
    expect(all.length).toBeGreaterThanOrEqual(2 * LOAD);
    all.forEach((attempt) => expectRefusedInTime(attempt, 'log-unavailable'));
    expect(transport.sent).toHaveLength(0);
    expect(budgets.openReservations.size).toBe(0);
    expect(budgets.settlements.every(({ tokens }) => tokens === 0)).toBe(true);
  });

  test('turns whose homes are slow are refused in time, leave no reservations, and are served on retry', async () => {
    const time = new clock.ManualClock();
    const scripts = Array.from({ length: LOAD }, () => fixtures.streamEvents([1], 'end'));
    const transport = new scriptedTransport.ScriptedTransport(scripts);
    const route = { ...STREAM, timeoutMs: CALLER_MS };
    const { budgets, gateway } = standIns.createGateway(transport, route, { clock: time });
    const slowUntil = 1_800;
    budgets.respondToReserve = async () => {
      if (time.now() < slowUntil) await time.sleep(2_500);
      return trueMyth.Result.ok({ isCovered: true });
    };
    const callers = Array.from({ length: LOAD }, (_, index) =>
      callUntilServed(gateway, time, index),
    );
    await settleEvents();
    await advance(time, CALLER_MS);
    const attempts = await Promise.all(callers);
    attempts
      .flatMap((all) => all.slice(0, -1))
      .forEach((attempt) => expectRefusedInTime(attempt, 'home-unavailable'));
    expect(attempts.flat().length).toBe(2 * LOAD);
    attempts.forEach((all) => expect(all.at(-1)?.reply.outcome).toBe('ended'));
    expect(transport.sent).toHaveLength(LOAD);
    expect(budgets.openReservations.size).toBe(0);
    expect(budgets.settlements.filter(({ tokens }) => tokens === 0)).toHaveLength(LOAD);
    expect(budgets.timeoutsMs[0]).toBe(1_350);
  });

  // Guards against conversations that are each within all limits, and whose histories together fill
  // the memory of the process.
  test('a turn whose history finds no memory is refused at once as not run, without a reservation', async () => {
    const time = new clock.SystemClock();
    const transport = new scriptedTransport.ScriptedTransport([
      fixtures.streamEvents([1], 'hang'),
      fixtures.streamEvents([1], 'end'),
    ]);
    const history = async (): Promise<trueMyth.Result<turns.History, errors.Fault>> =>
      trueMyth.Result.ok({ contents: [Buffer.alloc(600_000)], turns: [] });
    const turnMemory = new turns.TurnMemory(1_000_000);
    const store = {
      admit: () => true,
      history,
      keep: async () => trueMyth.Result.ok<void, errors.Fault>(undefined),
    };
    const { budgets, gateway } = standIns.createGateway(transport, RETAINING, {
      clock: time,
      turns: store,
      turnMemory,
    });
    const leaving = new AbortController();
    const replies = [0, 1, 2].map(() => new recordedReply.RecordedReply());
    const first = gateway.handle(createContinuingTurn(time, leaving.signal), replies[0]!);
    await settleEvents();
    await gateway.handle(createContinuingTurn(time), replies[1]!);
    expect(replies[1]!.fault).toMatchObject({ kind: 'overloaded', run: 'not-run' });
    expect(replies[1]!.fault!.retryAfterMs).toBeGreaterThan(0);
    expect(budgets.settlements).toHaveLength(1);
    leaving.abort();
    await first;
    expect(turnMemory.usedBytes).toBe(0);
    await gateway.handle(createContinuingTurn(time), replies[2]!);
    expect(replies[2]!.outcome).toBe('ended');
    expect(turnMemory.usedBytes).toBe(0);
  });

  // Guards against an outage of the log in which the records of all turns since are in memory. Those
  // of callers that have left stay until the log has rejected them.
  test('turns whose records are not stored share a bounded memory, and further ones are refused at once', async () => {
    const time = new clock.SystemClock();
    const scripts = Array.from({ length: 5 }, () => fixtures.streamEvents([1], 'end'));
    const transport = new scriptedTransport.ScriptedTransport(scripts);
    const turnMemory = new turns.TurnMemory(1_000_000);
    const endings: (() => void)[] = [];
    const keep = (): Promise<trueMyth.Result<void, errors.Fault>> =>
      new Promise((resolve) => {
        endings.push(() => resolve(trueMyth.Result.ok(undefined)));
      });
    const history = async (): Promise<never> => Promise.reject(new Error('No turn continues.'));
    const { gateway } = standIns.createGateway(transport, RETAINING, {
      clock: time,
      turns: { admit: () => true, history, keep },
      turnMemory,
    });
    const leaving = new AbortController();
    const start = (): { reply: recordedReply.RecordedReply; ended: Promise<void> } => {
      const reply = new recordedReply.RecordedReply();
      const call = fixtures.createCall(time, {
        ...standIns.turnOf('program'),
        body: Buffer.alloc(100_000),
        signal: leaving.signal,
      });
      return { reply, ended: gateway.handle(call, reply) };
    };
    const running = Array.from({ length: 4 }, start);
    await settleEvents();
    expect(endings).toHaveLength(4);
    const refused = start();
    await refused.ended;
    expect(refused.reply.fault).toMatchObject({ kind: 'overloaded', run: 'not-run' });
    leaving.abort();
    await Promise.all(running.map(({ ended }) => ended));
    expect(turnMemory.usedBytes).toBeGreaterThan(800_000);
    endings.forEach((end) => end());
    await settleEvents();
    expect(turnMemory.usedBytes).toBe(0);
  });

  test('a request past its deadline takes nothing from its limit and its budget', async () => {
    const time = new clock.ManualClock();
    const transport = new scriptedTransport.ScriptedTransport([]);
    let admitted = 0;
    const admit = async (): Promise<unreplicatedLimits.AdmissionResult> => {
      admitted += 1;
      return { isAdmitted: true };
    };
    const changes = { clock: time, allowances: { admit } };
    const { budgets, gateway } = standIns.createGateway(transport, STREAM, changes);
    const reply = new recordedReply.RecordedReply();
    const call = fixtures.createCall(time, standIns.turnOf('program'));
    time.advance(TIMEOUT_MS);
    await gateway.handle(call, reply);
    expect(reply.fault).toMatchObject({ kind: 'deadline-unreachable', run: 'not-run' });
    expect(admitted).toBe(0);
    expect(budgets.timeoutsMs).toHaveLength(0);
    expect(transport.sent).toHaveLength(0);
  });

  test('turns refused by their limit do not wait for their homes and leave no reservations', async () => {
    const time = new clock.ManualClock();
    const transport = new scriptedTransport.ScriptedTransport([]);
    const admit = async (): Promise<unreplicatedLimits.AdmissionResult> => ({
      isAdmitted: false,
      retryAfterMs: 50,
    });
    const changes = { clock: time, allowances: { admit } };
    const { budgets, gateway } = standIns.createGateway(transport, STREAM, changes);
    budgets.respondToReserve = () =>
      time.sleep(300).then(() => trueMyth.Result.ok({ isCovered: true }));
    const replies = Array.from({ length: LOAD }, () => new recordedReply.RecordedReply());
    replies.forEach((reply, index) => {
      const turn = { ...standIns.turnOf(`program-${index}`), id: `turn-${index}` };
      gateway.handle(fixtures.createCall(time, turn), reply);
    });
    await settleEvents();
    expect(replies.filter(({ fault }) => fault?.kind === 'rate-limited')).toHaveLength(LOAD);
    expect(gateway.running).toBe(0);
    await advance(time, TIMEOUT_MS);
    expect(budgets.settlements).toHaveLength(LOAD);
    expect(budgets.openReservations.size).toBe(0);
    expect(transport.sent).toHaveLength(0);
  });

  test.each(Object.values(routeKinds.ROUTE_KINDS))(
    'a request whose caller disconnects while it waits for the limit is sent to no target (%s)',
    async (kind) => {
      const time = new clock.ManualClock();
      const transport = new scriptedTransport.ScriptedTransport([]);
      const admit = async (): Promise<unreplicatedLimits.AdmissionResult> => {
        await time.sleep(200);
        return { isAdmitted: true };
      };
      const changes = { clock: time, allowances: { admit } };
      const { budgets, gateway } = standIns.createGateway(transport, { kind }, changes);
      const reply = new recordedReply.RecordedReply();
      const caller = new AbortController();
      const turn = standIns.turnOf('program');
      const call = fixtures.createCall(time, { ...turn, signal: caller.signal });
      const handled = gateway.handle(call, reply);
      await advance(time, 100);
      caller.abort();
      await advance(time, 200);
      expect(transport.sent).toHaveLength(0);
      await handled;
      expect(reply.fault).toBeUndefined();
      expect(budgets.openReservations.size).toBe(0);
    },
  );

  test('a turn is retained together with the history that it continues', async () => {
    const hints: turns.TurnHints[] = [];
    const kept: turns.Turn[] = [];
    const store: turns.TurnStore = {
      admit: () => true,
      history: async (_turn, _workspace, given) => {
        hints.push(given);
        return trueMyth.Result.ok({ contents: [Buffer.from('before;')], turns: EARLIER });
      },
      keep: async (turn) => {
        kept.push(turn);
        return trueMyth.Result.ok(undefined);
      },
    };
    const time = new clock.ManualClock();
    const transport = new scriptedTransport.ScriptedTransport([fixtures.streamEvents([1], 'end')]);
    const route = { ...RETAINING, retentionMs: RETENTION_MS };
    const { gateway } = standIns.createGateway(transport, route, { clock: time, turns: store });
    const reply = new recordedReply.RecordedReply();
    const next = fixtures.createCall(time, standIns.turnOf('program', 't1'));
    await gateway.handle(next, reply);
    expect(reply.outcome).toBe('ended');
    expect(Buffer.from(transport.sent[0]!.request.body).toString()).toBe('before;body');
    expect(hints).toEqual([
      { writer: undefined, retentionMs: RETENTION_MS, mostRunMs: TIMEOUT_MS },
    ]);
    expect(kept).toHaveLength(1);
    expect(kept[0]).toMatchObject({ earlier: EARLIER, previous: 't1', retentionMs: RETENTION_MS });
  });

  test('a lookup that fails after its turn was refused is logged and has no other effect', async () => {
    const time = new clock.ManualClock();
    const { gateway, logger, reply, transport } = createSlowLookup(time, () =>
      time.sleep(700).then(() => Promise.reject(new Error('broken'))),
    );
    const handled = gateway.handle(createContinuingTurn(time), reply);
    await advance(time, 500);
    await handled;
    expect(reply.fault?.kind).toBe('log-unavailable');
    await advance(time, 500);
    expect(logger.lines.some(({ fields }) => fields.reason === 'Error: broken')).toBe(true);
    expect(transport.sent).toHaveLength(0);
  });

  test('the wait for the history of a turn ends when its caller disconnects', async () => {
    const time = new clock.ManualClock();
    const { budgets, gateway, reply, transport } = createSlowLookup(time, () =>
      time.sleep(300).then(() => trueMyth.Result.ok({ contents: [], turns: [] })),
    );
    const caller = new AbortController();
    let isOver = false;
    gateway.handle(createContinuingTurn(time, caller.signal), reply).then(() => {
      isOver = true;
    });
    await advance(time, 100);
    caller.abort();
    await settleEvents();
    expect(isOver).toBe(true);
    expect(budgets.openReservations.size).toBe(0);
    expect(reply.fault).toBeUndefined();
    await advance(time, 500);
    expect(transport.sent).toHaveLength(0);
  });

  // The home could neither choose the watermark of the turn nor let it continue.
  test('a turn within its allowance ends without the record and is settled with its tokens', async () => {
    const time = new clock.ManualClock();
    const transport = new scriptedTransport.ScriptedTransport([
      fixtures.streamEvents([1, 2], 'end'),
    ]);
    const { budgets, gateway } = standIns.createGateway(transport, STREAM, { clock: time });
    budgets.respondToReserve = async () =>
      trueMyth.Result.ok({ isCovered: false, uncoveredTokens: 1_000 });
    budgets.respondToCover = () => time.sleep(150).then(() => false);
    const reply = new recordedReply.RecordedReply();
    await gateway.handle(fixtures.createCall(time, standIns.turnOf('program')), reply);
    expect(reply.outcome).toBe('ended');
    await advance(time, 500);
    expect(budgets.openReservations.size).toBe(0);
    expect(budgets.settlements.every(({ tokens }) => tokens > 0)).toBe(true);
    expect(budgets.reservations.map(({ isRetained }) => isRetained)).toEqual([false]);
  });

  test('the wait for the record of a budget ends with its turn and leaves no reservation', async () => {
    const time = new clock.ManualClock();
    const full = Array.from({ length: 200 }, () =>
      fixtures.fail(sendFailures.SEND_FAILURES.NOT_RUN),
    );
    const transport = new scriptedTransport.ScriptedTransport(full);
    const { budgets, gateway } = standIns.createGateway(transport, STREAM, { clock: time });
    budgets.respondToReserve = async () => trueMyth.Result.ok({ isCovered: false });
    budgets.respondToCover = () => time.sleep(150).then(() => false);
    const reply = new recordedReply.RecordedReply();
    const call = fixtures.createCall(time, standIns.turnOf('program'));
    const handled = gateway.handle(call, reply);
    await advance(time, TIMEOUT_MS / 2 + 50);
    await handled;
    expect(reply.fault?.kind).toBe('target-unavailable');
    const countAtEnd = budgets.coverCount;
    await advance(time, TIMEOUT_MS);
    expect(budgets.coverCount).toBe(countAtEnd);
    expect(budgets.openReservations.size).toBe(0);
    expect(budgets.settlements.every(({ tokens }) => tokens === 0)).toBe(true);
  });
});

function expectRefusedInTime({ timeoutMs, reply, spanMs }: Attempt, kind: errors.ErrorKind): void {
  expect(reply.fault).toMatchObject({ kind, run: 'not-run' });
  expect(reply.fault?.retryAfterMs).toBeGreaterThan(0);
  expect(spanMs).toBeLessThan(timeoutMs / 2);
}

/** Runs concurrent callers whose turns continue two retained turns, with slow log listings. */
async function loadSlowLog(
  answerMs: clock.Milliseconds,
  spanMs: clock.Milliseconds,
): Promise<
  Omit<standIns.TestGateway, 'gateway'> & {
    readonly attempts: readonly (readonly Attempt[])[];
    readonly transport: scriptedTransport.ScriptedTransport;
  }
> {
  const time = new clock.ManualClock();
  const log = new slowLog.SlowLog(new keyedLogTesting.MemoryKeyedLog(), time);
  const programs = Array.from({ length: LOAD }, (_, index) => index);
  const former = createStore(log, time, 'former');
  await Promise.all(programs.map((index) => retainTwo(former, index)));
  log.responseMs = answerMs;
  const scripts = programs.map(() => fixtures.streamEvents([1, 2], 'end'));
  const transport = new scriptedTransport.ScriptedTransport(scripts);
  const created = standIns.createGateway(transport, RETAINING, {
    clock: time,
    turns: createStore(log, time, 'now'),
  });
  const callers = programs.map((index) => callUntilServed(created.gateway, time, index));
  await settleEvents();
  await advance(time, spanMs);
  return { ...created, transport, attempts: await Promise.all(callers) };
}

/** Retains a turn and another one that continues it. */
async function retainTwo(store: turns.TurnStore, index: number): Promise<void> {
  const kept = { workspace: 'w', retentionMs: RETENTION_MS, maximumRunMs: 4_000 };
  const first = `first-${index}`;
  const second = `second-${index}`;
  await store.keep({ ...kept, id: first, content: Buffer.from(`${first};`) }, 100);
  const content = Buffer.from(`${second};`);
  const history = await store.history(first, 'w', {});
  const earlier = history.unwrapOrElse(unexpected).turns;
  await store.keep({ ...kept, id: second, previous: first, earlier, content }, 100);
}

function unexpected({ kind }: errors.Fault): never {
  throw new Error(`Expected a history, got the fault ${kind}.`);
}

/** Sends a turn like a caller that retries when it is refused as not run. */
async function callUntilServed(
  gateway: standIns.TestGateway['gateway'],
  time: clock.Clock,
  index: number,
): Promise<readonly Attempt[]> {
  const attempts: Attempt[] = [];
  const program = `program-${index}`;
  for (;;) {
    const startedAt = time.now();
    const timeoutMs = CALLER_MS - startedAt;
    const reply = new recordedReply.RecordedReply();
    const call = fixtures.createCall(time, {
      ...standIns.turnOf(program, `second-${index}`),
      id: `${program}/${attempts.length}`,
      body: Buffer.from('new;'),
      timeoutMs,
    });
    await gateway.handle(call, reply);
    attempts.push({ reply, timeoutMs, spanMs: time.now() - startedAt });
    const leftMs = CALLER_MS - time.now();
    const { fault } = reply;
    if (fault === undefined || fault.run !== 'not-run' || leftMs < MINIMUM_RETRY_MS)
      return attempts;
    await time.sleep(Math.min(fault.retryAfterMs, RETRY_SHARE * leftMs));
  }
}

function createStore(
  log: slowLog.SlowLog,
  time: clock.Clock,
  producer: string,
): turns.LoggedTurnStore {
  const store = new turns.LoggedTurnStore({
    log,
    membership: { available: () => [], onChange: () => ({ dispose: () => undefined }) },
    clock: time,
    producer,
    network: wireTesting.createTestNetwork(producer),
    logger: new recordedLogger.RecordedLogger(),
    partitionCount: 4,
    recordBytes: 262_144,
    cacheBytes: 10_000_000,
    memory: new turns.TurnMemory(20_000_000),
  });
  stores.push(store);
  return store;
}

function createSlowLookup(
  time: clock.Clock,
  history: () => Promise<trueMyth.Result<turns.History, errors.Fault>>,
): standIns.TestGateway & {
  readonly reply: recordedReply.RecordedReply;
  readonly transport: scriptedTransport.ScriptedTransport;
} {
  const transport = new scriptedTransport.ScriptedTransport([]);
  const keep = async (): Promise<never> =>
    Promise.reject(new Error('No turn is expected to be retained.'));
  const changes = { clock: time, turns: { admit: () => true, history, keep } };
  const created = standIns.createGateway(transport, RETAINING, changes);
  return { ...created, transport, reply: new recordedReply.RecordedReply() };
}

/** A turn that continues another one. */
function createContinuingTurn(time: clock.Clock, signal = new AbortController().signal): Call {
  return fixtures.createCall(time, { ...standIns.turnOf('program', 'former'), signal });
}

/** Advances the clock step by step; due callbacks run after each step. */
async function advance(time: clock.ManualClock, spanMs: clock.Milliseconds): Promise<void> {
  for (let passed = 0; passed < spanMs; passed += STEP_MS) {
    time.advance(STEP_MS);
    await settleEvents();
  }
}

/** Waits until pending callbacks have run. */
async function settleEvents(): Promise<void> {
  for (let turn = 0; turn < 3; turn += 1) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}
