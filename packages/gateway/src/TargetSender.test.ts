// The transport threw for a target whose address it could not use, or reported the failure before it
// returned. The caller's connection ended without a response, although other targets were free.

import * as jestGlobals from '@jest/globals';
import * as turns from '@limpettack/turns';
import * as routeKinds from './RouteKinds.js';
import * as sendFailures from './SendFailures.js';
import * as streamCall from './StreamCall.js';
import * as fixtures from './testing/gatewayFixtures.js';
import * as recordedReply from './testing/RecordedReply.js';
import * as unaryCall from './UnaryCall.js';
import type { Exchange, ResponseHandler, Route, TargetTransport } from './Types.js';

const { describe, expect, test } = jestGlobals;

const { LOST, NOT_SENT } = sendFailures.SEND_FAILURES;

type Send = (handler: ResponseHandler) => Exchange;

const EXCHANGE: Exchange = {
  abort: () => undefined,
  pause: () => undefined,
  resume: () => undefined,
};

const TARGETS = ['one', 'two', 'three'].map((id) => fixtures.createTarget(id));

const ONCE = { kind: routeKinds.ROUTE_KINDS.ONCE };
const REPEATABLE = { kind: routeKinds.ROUTE_KINDS.REPEATABLE };
const STREAM = { kind: routeKinds.ROUTE_KINDS.STREAM };
const RESUMABLE = { ...STREAM, isResumable: true };

const throwError: Send = () => {
  throw new TypeError('Invalid URL');
};

const failAtOnce: Send = (handler) => {
  handler.onFailure({ kind: NOT_SENT, reason: 'invalid header', isDisconnect: false });
  return EXCHANGE;
};

const failOnAbort: TargetTransport['send'] = (_target, _request, handler) => ({
  ...EXCHANGE,
  abort: () => handler.onFailure({ kind: LOST, reason: 'aborted', isDisconnect: false }),
});

/** Sends events, and then ends or fails. */
function respond(ids: readonly number[], end: 'end' | 'break'): Send {
  return (handler) => {
    setImmediate(() => fixtures.streamEvents(ids, end)(handler));
    return EXCHANGE;
  };
}

describe('TargetSender', () => {
  describe.each([
    ['throws', throwError],
    ['fails at once', failAtOnce],
  ])('when the transport %s', (_what, failing) => {
    test.each([
      ['unary call that must not be repeated', ONCE],
      ['repeatable unary call', REPEATABLE],
    ])('a %s gets a response from another target', async (_kind, route) => {
      const reply = await runUnary([failing, failing, respond([1], 'end')], route);
      expect(reply.response?.body.toString()).toContain('text 1');
    });

    test.each([
      ['stream', STREAM],
      ['resumable stream', RESUMABLE],
    ])('a %s comes from another target', async (_kind, route) => {
      const reply = await runStream([failing, failing, respond([1, 2], 'end')], route);
      expect([reply.eventIds, reply.outcome]).toEqual([[1, 2], 'ended']);
    });

    test('a late repeatable call is sent to a third target', async () => {
      const silent: Send = () => EXCHANGE;
      const reply = await runUnary([silent, failing, respond([1], 'end')], REPEATABLE);
      expect(reply.response?.body.toString()).toContain('text 1');
    });

    test('an interrupted stream resumes at a third target', async () => {
      const scripts = [respond([1], 'break'), failing, respond([2], 'end')];
      const reply = await runStream(scripts, RESUMABLE);
      expect([reply.eventIds, reply.outcome]).toEqual([[1, 2], 'ended']);
    });

    test('a call that no target accepts is refused as not run', async () => {
      const reply = await runUnary(Array<Send>(1_000).fill(failing), ONCE);
      expect(reply.fault).toMatchObject({ kind: 'target-unavailable', run: 'not-run' });
    });
  });

  test('a failure after the exchange has been aborted is not reported', async () => {
    const failures: string[] = [];
    const { sender } = fixtures.createDependencies({ send: failOnAbort }, TARGETS);
    const context = fixtures.createContext(fixtures.createDependencies({ send: failOnAbort }, []));
    const sent = sender.send(TARGETS[0]!, context.toRequest(0), {
      onHead: () => undefined,
      onData: () => undefined,
      onEnd: () => undefined,
      onFailure: ({ reason }) => failures.push(reason),
    });
    sent.abort();
    expect(failures).toEqual([]);
  });
});

function createTransport(scripts: readonly Send[]): TargetTransport {
  const remaining = [...scripts];
  return { send: (_target, _request, handler) => remaining.shift()!(handler) };
}

async function runUnary(
  scripts: readonly Send[],
  route: Partial<Route>,
): Promise<recordedReply.RecordedReply> {
  const dependencies = fixtures.createDependencies(createTransport(scripts), TARGETS);
  const reply = new recordedReply.RecordedReply();
  const context = fixtures.createContext(dependencies, route);
  await new unaryCall.UnaryCall(dependencies, context, reply).run();
  return reply;
}

async function runStream(
  scripts: readonly Send[],
  route: Partial<Route>,
): Promise<recordedReply.RecordedReply> {
  const dependencies = fixtures.createDependencies(createTransport(scripts), TARGETS);
  const reply = new recordedReply.RecordedReply();
  const context = fixtures.createContext(dependencies, route);
  const plan = {
    body: context.call.body,
    memory: new turns.TurnMemory(1_000_000).open(),
    tokensPerEvent: 20,
    budgetRecorded: undefined,
    recordUsage: async () => true,
  };
  await new streamCall.StreamCall(dependencies, context, plan, reply).run();
  return reply;
}
