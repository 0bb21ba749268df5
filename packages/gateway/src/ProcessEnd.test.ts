// A process that stopped passed requests on although their targets needed longer than the process
// still had: a body that arrived late, a wait that took long. At its end it closed the connections
// of all requests that still ran, so that their callers got no response.

import * as jestGlobals from '@jest/globals';
import type * as clock from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';
import * as trueMyth from 'true-myth';
import type * as gateway from './Gateway.js';
import * as processEnd from './ProcessEnd.js';
import * as routeKinds from './RouteKinds.js';
import * as sendFailures from './SendFailures.js';
import * as fixtures from './testing/gatewayFixtures.js';
import * as standIns from './testing/gatewayStandIns.js';
import type * as recordedBudgets from './testing/RecordedBudgets.js';
import * as recordedReply from './testing/RecordedReply.js';
import * as scriptedTransport from './testing/ScriptedTransport.js';
import type { Route } from './Types.js';

const { describe, expect, test } = jestGlobals;

const ONCE = { kind: routeKinds.ROUTE_KINDS.ONCE };
const REPEATABLE = { kind: routeKinds.ROUTE_KINDS.REPEATABLE };
const STREAM = { kind: routeKinds.ROUTE_KINDS.STREAM };
const RETAINING = { ...STREAM, retainsTurns: true };

/** Longer than a test may take, so that no request ends by its own timeout. */
const TIMEOUT_MS = 60_000;

const SHUTTING_DOWN = { kind: 'shutting-down', run: 'not-run' };

describe('ProcessEnd', () => {
  test('lets only requests that end before the process be sent', () => {
    const end = new processEnd.ProcessEnd();
    expect(end.maySend(10_000)).toBe(true);
    end.announce(5_000);
    expect([4_999, 5_000, 5_001].map((deadline) => end.maySend(deadline))).toEqual([
      true,
      true,
      false,
    ]);
    end.end();
    expect(end.maySend(0)).toBe(false);
  });

  test('the fault tells callers to come back soon', () => {
    const fault = processEnd.shuttingDownFault();
    expect(fault).toMatchObject(SHUTTING_DOWN);
    expect(fault.retryAfterMs).toBeLessThan(100);
  });
});

describe('a request at a process that stops', () => {
  test.each([
    ['call that must not be repeated', ONCE],
    ['repeatable call', REPEATABLE],
    ['stream', STREAM],
  ])('a %s that could last longer is refused instead of sent', async (_kind, route) => {
    const bench = start([fixtures.sendResponse('late')], route);
    bench.end.announce(bench.time.now() + TIMEOUT_MS - 1_000);
    bench.admit();
    await bench.ended;
    expect(bench.reply.fault).toMatchObject(SHUTTING_DOWN);
    expect(bench.transport.sent).toHaveLength(0);
  });

  test('is sent if it ends before the process', async () => {
    const bench = start([fixtures.sendResponse('done')], ONCE);
    bench.end.announce(bench.time.now() + TIMEOUT_MS);
    bench.admit();
    await bench.ended;
    expect(bench.reply.response?.body.toString()).toBe('done');
  });

  test.each([ONCE, STREAM])(
    'is not sent again after refusals of full targets (%j)',
    async (route) => {
      const bench = start(
        Array(100).fill(fixtures.fail(sendFailures.SEND_FAILURES.NOT_RUN)),
        route,
      );
      bench.admit();
      await until(() => bench.transport.sent.length >= 3);
      bench.end.announce(bench.time.now());
      await bench.ended;
      expect(bench.reply.fault).toMatchObject(SHUTTING_DOWN);
    },
  );

  test.each([
    ['call that must not be repeated', ONCE],
    ['repeatable call', REPEATABLE],
    ['stream that has not begun', STREAM],
  ])('a running %s gets a response that promises nothing', async (_kind, route) => {
    const bench = start([() => undefined], route);
    bench.admit();
    await until(() => bench.transport.sent.length === 1);
    bench.end.end();
    await bench.ended;
    expect(bench.reply.fault).toMatchObject({ kind: 'deadline-exceeded', run: 'unknown' });
    expect(bench.transport.aborted).toBe(1);
  });

  test('a running stream is broken off and does not look complete', async () => {
    const bench = start([fixtures.streamEvents([1], 'hang')], STREAM);
    bench.admit();
    await until(() => bench.reply.chunks.length === 1);
    bench.end.end();
    await bench.ended;
    expect(bench.reply.outcome).toBe('broken');
  });

  test('a stream whose turn is being stored is broken off', async () => {
    const keep = (): Promise<never> => new Promise(() => {});
    const store = {
      admit: () => true,
      history: async () => trueMyth.Result.ok({ contents: [], turns: [] }),
      keep,
    };
    const bench = start([fixtures.streamEvents([1], 'end')], RETAINING, { turns: store });
    bench.admit();
    await until(() => bench.reply.chunks.length === 1);
    bench.end.end();
    await bench.ended;
    expect(bench.reply.outcome).toBe('broken');
  });

  test('a request that waits for its limit is refused as not run, and not sent later', async () => {
    const bench = start([fixtures.sendResponse('late')], ONCE);
    bench.end.end();
    expect(bench.reply.fault).toMatchObject(SHUTTING_DOWN);
    bench.admit();
    await bench.ended;
    expect(bench.transport.sent).toHaveLength(0);
  });

  test('a request that waits for the start of the process is refused as not run', async () => {
    const started = new lifetime.Latch();
    const bench = start([], ONCE, { started });
    bench.end.end();
    expect(bench.reply.fault).toMatchObject(SHUTTING_DOWN);
    started.open();
    bench.admit();
    await bench.ended;
  });

  test('a turn that is refused leaves no reservation', async () => {
    const bench = start([fixtures.sendResponse('late')], STREAM);
    bench.end.announce(bench.time.now());
    bench.admit();
    await bench.ended;
    expect(bench.budgets.settlements.map(({ tokens }) => tokens)).toEqual([0]);
    expect(bench.budgets.openReservations.size).toBe(0);
  });
});

interface Bench {
  /** Ends the wait of the request for its limit. */
  readonly admit: () => void;
  readonly budgets: recordedBudgets.RecordedBudgets;
  readonly end: processEnd.ProcessEnd;
  readonly ended: Promise<void>;
  readonly reply: recordedReply.RecordedReply;
  readonly time: clock.Clock;
  readonly transport: scriptedTransport.ScriptedTransport;
}

/** Starts a request that waits for its limit until `admit` is called. */
function start(
  scripts: scriptedTransport.Script[],
  route: Partial<Route>,
  changes: Partial<gateway.GatewayDependencies> = {},
): Bench {
  const transport = new scriptedTransport.ScriptedTransport(scripts);
  const end = new processEnd.ProcessEnd();
  const admitted = new lifetime.Latch();
  const { budgets, gateway: tested } = standIns.createGateway(
    transport,
    { ...route, timeoutMs: TIMEOUT_MS },
    {
      processEnd: end,
      allowances: {
        admit: async () => {
          await admitted.opened;
          return { isAdmitted: true };
        },
      },
      ...changes,
    },
  );
  const { clock: time } = fixtures.createDependencies(transport, []);
  const reply = new recordedReply.RecordedReply();
  const call = fixtures.createCall(time, { timeoutMs: TIMEOUT_MS, ...standIns.turnOf('p1') });
  const ended = tested.handle(call, reply);
  return { admit: () => admitted.open(), budgets, end, ended, reply, time, transport };
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
}
