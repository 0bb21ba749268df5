import * as jestGlobals from '@jest/globals';
import * as routeKinds from './RouteKinds.js';
import * as sendFailures from './SendFailures.js';
import * as fixtures from './testing/gatewayFixtures.js';
import * as recordedReply from './testing/RecordedReply.js';
import * as scriptedTransport from './testing/ScriptedTransport.js';
import * as wholeCall from './WholeCall.js';
import type { Call, Route } from './Types.js';

const { describe, expect, test } = jestGlobals;

const { LOST, NOT_RUN, NOT_SENT } = sendFailures.SEND_FAILURES;
const ONCE = { kind: routeKinds.ROUTE_KINDS.ONCE, maximumAttempts: 3 };
const TARGETS = ['one', 'two', 'three'].map((id) => fixtures.createTarget(id));

async function run(
  scripts: scriptedTransport.Script[],
  route: Partial<Route> = {},
  call: Partial<Call> = {},
): Promise<{
  reply: recordedReply.RecordedReply;
  sent: number;
  targets: readonly string[];
  parts: fixtures.Parts;
}> {
  const transport = new scriptedTransport.ScriptedTransport(scripts);
  const parts = fixtures.createParts(transport, TARGETS);
  const reply = new recordedReply.RecordedReply();
  const context = fixtures.createContext(parts, route, call);
  await new wholeCall.WholeCall(parts, context, reply).run();
  const targets = transport.sent.map(({ target }) => target);
  return { reply, sent: targets.length, targets, parts };
}

describe('WholeCall', () => {
  test('passes on the answer of the target', async () => {
    const { reply } = await run([fixtures.answerWhole('hello')]);
    expect(reply.answer?.body.toString()).toBe('hello');
  });

  test('a call that must not be repeated ends with an unknown outcome once it is lost', async () => {
    const { reply, sent } = await run([fixtures.fail(LOST), fixtures.answerWhole('no')], ONCE);
    expect(sent).toBe(1);
    expect(reply.fault?.kind).toBe('target-failed');
    expect(reply.fault?.run).toBe('unknown');
  });

  test('a call that must not be repeated goes on if it surely has not run', async () => {
    const scripts = [fixtures.fail(NOT_RUN), fixtures.fail(NOT_SENT), fixtures.answerWhole('yes')];
    const { reply, sent } = await run(scripts, ONCE);
    expect(sent).toBe(3);
    expect(reply.answer?.body.toString()).toBe('yes');
  });

  test('a repeatable call runs on as many targets as the route allows and no more', async () => {
    const scripts = [fixtures.fail(LOST), fixtures.fail(LOST), fixtures.answerWhole('no')];
    const { reply, sent } = await run(scripts);
    expect(sent).toBe(2);
    expect(reply.fault?.kind).toBe('target-failed');
  });

  test('a late repeatable call also goes to another target', async () => {
    const scripts: scriptedTransport.Script[] = [() => undefined, fixtures.answerWhole('second')];
    const { parts, reply, targets } = await run(scripts);
    expect(targets).toHaveLength(2);
    expect(reply.answer?.body.toString()).toBe('second');
    const scores = parts.scores.compare(targets);
    expect(targets.map((id) => scores.get(id)?.isPaused)).toEqual([true, false]);
  });

  test('a call that no target takes is refused as not run before its time is over', async () => {
    const scripts = Array.from({ length: 200 }, () => fixtures.fail(NOT_RUN));
    // Long beside the pauses of a busy machine, so that the asking ends before the time does.
    const { reply } = await run(scripts, ONCE, { patienceMs: 2_000 });
    expect(reply.fault?.kind).toBe('target-unavailable');
    expect(reply.fault?.run).toBe('not-run');
    expect(reply.fault?.retryAfterMs).toBeGreaterThan(0);
  });

  test('ends at the timeout of the route with an unknown outcome', async () => {
    const { reply } = await run([() => undefined], { ...ONCE, timeoutMs: 100 });
    expect(reply.fault?.kind).toBe('deadline-exceeded');
  });

  test.each([{}, ONCE])(
    'a call whose time is over before goes to no target and is refused as not run (%j)',
    async (route) => {
      const { reply, sent } = await run([fixtures.answerWhole('no')], route, { patienceMs: 0 });
      expect(sent).toBe(0);
      expect(reply.fault).toMatchObject({ kind: 'deadline-unreachable', run: 'not-run' });
      expect(reply.fault?.retryAfterMs).toBeGreaterThan(0);
    },
  );

  test('a target that answers with an error when the time is over is not followed by another', async () => {
    const late: scriptedTransport.Script = (handler) => {
      const until = performance.now() + 60;
      while (performance.now() < until);
      fixtures.answerWhole('bad', 500)(handler);
    };
    const scripts = [late, fixtures.answerWhole('no')];
    const { reply, sent } = await run(scripts, {}, { patienceMs: 50 });
    expect(sent).toBe(1);
    expect(reply.answer?.status).toBe(500);
  });

  test('stops a repeatable call whose caller has gone, and lets the others run on', async () => {
    const caller = new AbortController();
    const hang: scriptedTransport.Script = () => caller.abort();
    const transport = new scriptedTransport.ScriptedTransport([hang]);
    const parts = fixtures.createParts(transport, TARGETS);
    const context = fixtures.createContext(parts, {}, { gone: caller.signal });
    await new wholeCall.WholeCall(parts, context, new recordedReply.RecordedReply()).run();
    expect(transport.aborted).toBe(1);
    const late: scriptedTransport.Script = (handler) => {
      caller.abort();
      fixtures.answerWhole('done')(handler);
    };
    const { reply } = await run([late], ONCE, { gone: caller.signal });
    expect(reply.answer?.body.toString()).toBe('done');
  });

  test('a target that closes the connection is noted for the request', async () => {
    const { parts } = await run([fixtures.fail(LOST, true), fixtures.answerWhole('ok')]);
    expect(parts.deaths).toHaveLength(1);
  });

  test('a target that answers with server errors is left aside for a while', async () => {
    const scripts = Array.from({ length: 6 }, () => fixtures.answerWhole('good'));
    const transport = new scriptedTransport.ScriptedTransport([
      fixtures.answerWhole('bad', 500),
      ...scripts,
    ]);
    const parts = fixtures.createParts(transport, TARGETS);
    for (let call = 0; call < 6; call += 1) {
      const context = fixtures.createContext(parts, { ...ONCE, isSticky: true }, { affinity: 'a' });
      await new wholeCall.WholeCall(parts, context, new recordedReply.RecordedReply()).run();
    }
    const [first, ...later] = transport.sent.map(({ target }) => target);
    expect(later).not.toContain(first);
  });

  test('passes on a server error of a target as it is when no other try is left', async () => {
    const { reply } = await run([fixtures.answerWhole('bad', 500)], { maximumAttempts: 1 });
    expect(reply.answer?.status).toBe(500);
  });
});
