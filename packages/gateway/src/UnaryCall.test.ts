import * as jestGlobals from '@jest/globals';
import * as routeKinds from './RouteKinds.js';
import * as sendFailures from './SendFailures.js';
import * as fixtures from './testing/gatewayFixtures.js';
import * as recordedReply from './testing/RecordedReply.js';
import * as scriptedTransport from './testing/ScriptedTransport.js';
import * as unaryCall from './UnaryCall.js';
import type { Call, Route } from './Types.js';

const { describe, expect, test } = jestGlobals;

const { LOST, NOT_RUN, NOT_SENT } = sendFailures.SEND_FAILURES;
const ONCE = { kind: routeKinds.ROUTE_KINDS.ONCE, maximumAttempts: 3 };
const TARGETS = ['one', 'two', 'three'].map((id) => fixtures.createTarget(id));

async function run(
  scripts: scriptedTransport.Script[],
  route: Partial<Route> = {},
  call: Partial<Call> = {},
  roomBytes = Infinity,
): Promise<{
  reply: recordedReply.RecordedReply;
  sent: number;
  targets: readonly string[];
  dependencies: fixtures.TestDependencies;
}> {
  const transport = new scriptedTransport.ScriptedTransport(scripts);
  const dependencies = fixtures.createDependencies(transport, TARGETS);
  const reply = new recordedReply.RecordedReply();
  reply.roomBytes = roomBytes;
  const context = fixtures.createContext(dependencies, route, call);
  await new unaryCall.UnaryCall(dependencies, context, reply).run();
  const targets = transport.sent.map(({ target }) => target);
  return { reply, sent: targets.length, targets, dependencies };
}

describe('UnaryCall', () => {
  test('passes on the response of the target', async () => {
    const { reply } = await run([fixtures.sendResponse('hello')]);
    expect(reply.response?.body.toString()).toBe('hello');
  });

  test('a call that must not be repeated has an unknown outcome once it is lost', async () => {
    const { reply, sent } = await run([fixtures.fail(LOST), fixtures.sendResponse('no')], ONCE);
    expect(sent).toBe(1);
    expect(reply.fault?.kind).toBe('target-failed');
    expect(reply.fault?.run).toBe('unknown');
  });

  test('a call that must not be repeated is sent again if it certainly has not run', async () => {
    const scripts = [fixtures.fail(NOT_RUN), fixtures.fail(NOT_SENT), fixtures.sendResponse('yes')];
    const { reply, sent } = await run(scripts, ONCE);
    expect(sent).toBe(3);
    expect(reply.response?.body.toString()).toBe('yes');
  });

  test('a repeatable call runs on as many targets as the route allows and no more', async () => {
    const scripts = [fixtures.fail(LOST), fixtures.fail(LOST), fixtures.sendResponse('no')];
    const { reply, sent } = await run(scripts);
    expect(sent).toBe(2);
    expect(reply.fault?.kind).toBe('target-failed');
  });

  test('a late repeatable call is also sent to another target', async () => {
    const scripts: scriptedTransport.Script[] = [() => undefined, fixtures.sendResponse('second')];
    const { dependencies, reply, targets } = await run(scripts);
    expect(targets).toHaveLength(2);
    expect(reply.response?.body.toString()).toBe('second');
    const scores = dependencies.scores.compare(targets);
    expect(targets.map((id) => scores.get(id)?.isPaused)).toEqual([true, false]);
  });

  test('a call that no target accepts is refused as not run before its deadline', async () => {
    const scripts = Array.from({ length: 200 }, () => fixtures.fail(NOT_RUN));
    // Long compared with the pauses of a busy machine, so that the retries end before the deadline.
    const { reply } = await run(scripts, ONCE, { timeoutMs: 2_000 });
    expect(reply.fault?.kind).toBe('target-unavailable');
    expect(reply.fault?.run).toBe('not-run');
    expect(reply.fault?.retryAfterMs).toBeGreaterThan(0);
  });

  test('ends at the timeout of the route with an unknown outcome', async () => {
    const { reply } = await run([() => undefined], { ...ONCE, timeoutMs: 100 });
    expect(reply.fault?.kind).toBe('deadline-exceeded');
  });

  test.each([{}, ONCE])(
    'a call past its deadline is sent to no target and refused as not run (%j)',
    async (route) => {
      const { reply, sent } = await run([fixtures.sendResponse('no')], route, { timeoutMs: 0 });
      expect(sent).toBe(0);
      expect(reply.fault).toMatchObject({ kind: 'deadline-unreachable', run: 'not-run' });
      expect(reply.fault?.retryAfterMs).toBeGreaterThan(0);
    },
  );

  test('a call is not sent to another target after an error response past the deadline', async () => {
    const late: scriptedTransport.Script = (handler) => {
      const until = performance.now() + 60;
      while (performance.now() < until);
      fixtures.sendResponse('bad', 500)(handler);
    };
    const scripts = [late, fixtures.sendResponse('no')];
    const { reply, sent } = await run(scripts, {}, { timeoutMs: 50 });
    expect(sent).toBe(1);
    expect(reply.response?.status).toBe(500);
  });

  test('a repeatable call is aborted when its caller disconnects, others continue', async () => {
    const caller = new AbortController();
    const hang: scriptedTransport.Script = () => caller.abort();
    const transport = new scriptedTransport.ScriptedTransport([hang]);
    const dependencies = fixtures.createDependencies(transport, TARGETS);
    const context = fixtures.createContext(dependencies, {}, { signal: caller.signal });
    await new unaryCall.UnaryCall(dependencies, context, new recordedReply.RecordedReply()).run();
    expect(transport.aborted).toBe(1);
    const late: scriptedTransport.Script = (handler) => {
      caller.abort();
      fixtures.sendResponse('done')(handler);
    };
    const { reply } = await run([late], ONCE, { signal: caller.signal });
    expect(reply.response?.body.toString()).toBe('done');
  });

  // A call whose caller had left was sent to the next target when its first one refused it.
  test('a call that must not be repeated is not sent again after its caller has left', async () => {
    const disconnection = new AbortController();
    const refuse: scriptedTransport.Script = (handler) => {
      disconnection.abort();
      fixtures.fail(NOT_RUN)(handler);
    };
    const scripts = [refuse, fixtures.sendResponse('late')];
    const { sent } = await run(scripts, ONCE, { signal: disconnection.signal });
    expect(sent).toBe(1);
  });

  // The timer of the first target sent a call to a third one, although only two were allowed.
  test('a late repeatable call whose first target has failed is sent to no third one', async () => {
    const failLate: scriptedTransport.Script = (handler) => {
      setTimeout(() => fixtures.fail(LOST)(handler), 400);
    };
    const scripts = [fixtures.fail(LOST), failLate, fixtures.sendResponse('third')];
    const { reply, sent } = await run(scripts);
    expect(sent).toBe(2);
    expect(reply.fault?.kind).toBe('target-failed');
  });

  test('a target that closes the connection is recorded as crashed by the request', async () => {
    const { dependencies } = await run([fixtures.fail(LOST, true), fixtures.sendResponse('ok')]);
    expect(dependencies.crashedTargets).toHaveLength(1);
  });

  test('a target that responds with server errors is skipped temporarily', async () => {
    const scripts = Array.from({ length: 6 }, () => fixtures.sendResponse('good'));
    const transport = new scriptedTransport.ScriptedTransport([
      fixtures.sendResponse('bad', 500),
      ...scripts,
    ]);
    const dependencies = fixtures.createDependencies(transport, TARGETS);
    for (let call = 0; call < 6; call += 1) {
      const context = fixtures.createContext(
        dependencies,
        { ...ONCE, isSticky: true },
        { affinity: 'a' },
      );
      await new unaryCall.UnaryCall(dependencies, context, new recordedReply.RecordedReply()).run();
    }
    const [first, ...later] = transport.sent.map(({ target }) => target);
    expect(later).not.toContain(first);
  });

  test('passes on a server error of a target unchanged when no attempt is left', async () => {
    const { reply } = await run([fixtures.sendResponse('bad', 500)], { maximumAttempts: 1 });
    expect(reply.response?.status).toBe(500);
  });

  // All responses were collected without a common bound: 20 callers that did not read responses of
  // 15 MB ended the process.
  describe('without memory to collect the response', () => {
    function sendParts(end: 'end' | 'break'): scriptedTransport.Script {
      return (handler) => {
        handler.onHead(fixtures.HEAD);
        ['one ', 'two ', 'three'].forEach((part) => handler.onData(Buffer.from(part)));
        if (end === 'end') handler.onEnd();
        else handler.onFailure({ kind: LOST, reason: 'scripted', isDisconnect: true });
      };
    }

    test('passes the response on as it arrives', async () => {
      const { reply, sent } = await run([sendParts('end')], {}, {}, 6);
      expect(reply.chunks.join('')).toBe('one two three');
      expect(reply.response).toBeUndefined();
      expect(reply.outcome).toBe('ended');
      expect(sent).toBe(1);
    });

    test.each([['repeatable', {}] as const, ['other', ONCE] as const])(
      'the interrupted response of a %s call is not taken for a complete one',
      async (_name, route) => {
        const { reply, sent } = await run([sendParts('break'), sendParts('end')], route, {}, 6);
        expect(reply.chunks.join('')).toBe('one two three');
        expect(reply.outcome).toBe('broken');
        expect(reply.fault).toBeUndefined();
        expect(sent).toBe(1);
      },
    );

    test('a response that takes longer than the call is aborted', async () => {
      const script: scriptedTransport.Script = (handler) => {
        handler.onHead(fixtures.HEAD);
        handler.onData(Buffer.from('one '));
      };
      const { reply } = await run([script], {}, { timeoutMs: 100 }, 2);
      expect(reply.chunks).toEqual(['one ']);
      expect(reply.outcome).toBe('broken');
    });

    test('an error of one target is not passed on while another one can respond', async () => {
      const scripts = [fixtures.sendResponse('an error', 500), fixtures.sendResponse('good')];
      const { reply, sent } = await run(scripts, {}, {}, 6);
      expect(sent).toBe(2);
      expect(reply.response?.body.toString()).toBe('good');
    });
  });
});
