import * as jestGlobals from '@jest/globals';
import * as errors from '@limpettack/errors';
import * as trueMyth from 'true-myth';
import * as routeKinds from './RouteKinds.js';
import * as sendFailures from './SendFailures.js';
import * as streamCall from './StreamCall.js';
import * as fixtures from './testing/gatewayFixtures.js';
import * as recordedReply from './testing/RecordedReply.js';
import * as scriptedTransport from './testing/ScriptedTransport.js';
import type { Call, Route } from './Types.js';

const { describe, expect, test } = jestGlobals;

const { LOST, NOT_RUN } = sendFailures.SEND_FAILURES;
const STREAM = { kind: routeKinds.ROUTE_KINDS.STREAM };
const RESUMABLE = { ...STREAM, isResumable: true };
const KEPT = { ...STREAM, keepsTurns: true };
const TARGETS = ['one', 'two', 'three'].map((id) => fixtures.createTarget(id));

interface Run {
  readonly reply: recordedReply.RecordedReply;
  readonly outcome: streamCall.StreamOutcome;
  readonly transport: scriptedTransport.ScriptedTransport;
  readonly parts: fixtures.Parts;
}

async function run(
  scripts: scriptedTransport.Script[],
  route: Partial<Route>,
  call: Partial<Call> = {},
  changes: Partial<fixtures.Parts> & Partial<streamCall.StreamPlan> = {},
  onReply: (reply: recordedReply.RecordedReply) => void = () => undefined,
): Promise<Run> {
  const transport = new scriptedTransport.ScriptedTransport(scripts);
  const { covered, recordUse = async () => true, ...partChanges } = changes;
  const parts = fixtures.createParts(transport, TARGETS, partChanges);
  const reply = new recordedReply.RecordedReply();
  onReply(reply);
  const context = fixtures.createContext(parts, route, call);
  const plan = { body: context.call.body, tokensPerEvent: 20, covered, recordUse };
  const outcome = await new streamCall.StreamCall(parts, context, plan, reply).run();
  return { reply, outcome, transport, parts };
}

describe('StreamCall', () => {
  test('passes on each event once and counts the tokens', async () => {
    const { outcome, reply } = await run([fixtures.streamEvents([1, 2, 3], 'end')], STREAM);
    expect(reply.eventIds).toEqual([1, 2, 3]);
    expect(reply.outcome).toBe('ended');
    expect(outcome).toEqual({ tokens: 60, isComplete: true, isKept: false });
  });

  test('goes on at another target behind the last event that was passed on', async () => {
    const scripts = [fixtures.streamEvents([1, 2], 'break'), fixtures.streamEvents([2, 3], 'end')];
    const { reply, transport } = await run(scripts, RESUMABLE);
    expect(reply.eventIds).toEqual([1, 2, 3]);
    expect(transport.sent[1]?.request.lastEventId).toBe(2);
    expect(reply.outcome).toBe('ended');
  });

  test('a stream that may not be resumed breaks off and never looks complete', async () => {
    const scripts = [fixtures.streamEvents([1], 'break'), fixtures.streamEvents([2], 'end')];
    const { outcome, reply, transport } = await run(scripts, STREAM);
    expect(transport.sent).toHaveLength(1);
    expect(reply.outcome).toBe('broken');
    expect(outcome).toEqual({ tokens: 20, isComplete: false, isKept: false });
  });

  test('a stream that ends within an event is not complete', async () => {
    const script: scriptedTransport.Script = (handler) => {
      handler.onHead(fixtures.HEAD);
      handler.onData(fixtures.eventBytes(1));
      handler.onData(Buffer.from('id: 2\ndata: ha'));
      handler.onEnd();
    };
    const { reply } = await run([script], STREAM);
    expect(reply.eventIds).toEqual([1]);
    expect(reply.outcome).toBe('broken');
  });

  test('a stream that falls silent goes on elsewhere', async () => {
    const scripts = [fixtures.streamEvents([1], 'hang'), fixtures.streamEvents([2], 'end')];
    const { parts, reply, transport } = await run(
      scripts,
      { ...RESUMABLE, timeoutMs: 4_000 },
      {
        patienceMs: 4_000,
      },
    );
    expect(reply.eventIds).toEqual([1, 2]);
    expect(transport.aborted).toBe(1);
    const [silent] = transport.sent;
    const ids = TARGETS.map(({ id }) => id);
    expect(parts.scores.compare(ids).get(silent!.target)?.isPaused).toBe(true);
  });

  test('single bytes without a whole event do not hold a stream', async () => {
    const drip: scriptedTransport.Script = (handler) => {
      fixtures.streamEvents([1], 'hang')(handler);
      const timer = setInterval(() => handler.onData(Buffer.from('x')), 50);
      timer.unref();
    };
    const scripts = [drip, fixtures.streamEvents([2], 'end')];
    const startedAt = Date.now();
    const route = { ...RESUMABLE, timeoutMs: 10_000 };
    const { reply, transport } = await run(scripts, route, { patienceMs: 10_000 });
    expect(reply.eventIds).toEqual([1, 2]);
    expect(transport.aborted).toBe(1);
    expect(Date.now() - startedAt).toBeLessThan(2_000);
  });

  test('a slow stream with whole events goes on at its target', async () => {
    const slow: scriptedTransport.Script = (handler) => {
      handler.onHead(fixtures.HEAD);
      [1, 2, 3].forEach((id) => {
        setTimeout(() => handler.onData(fixtures.eventBytes(id)), 500 * id);
      });
      setTimeout(() => handler.onEnd(), 2_000);
    };
    const route = { ...RESUMABLE, timeoutMs: 10_000 };
    const { reply, transport } = await run([slow], route, { patienceMs: 10_000 });
    expect(reply.eventIds).toEqual([1, 2, 3]);
    expect(transport.sent).toHaveLength(1);
    expect(reply.outcome).toBe('ended');
  });

  test.each([
    ['an event', 200],
    ['an error', 500],
  ])(
    'bytes of %s without end are given up, and the stream goes on elsewhere',
    async (_name, status) => {
      const flood: scriptedTransport.Script = (handler) => {
        handler.onHead({ ...fixtures.HEAD, status });
        for (let count = 0; count < 64; count += 1) handler.onData(Buffer.alloc(32 * 1024, 'x'));
      };
      const scripts = [flood, fixtures.streamEvents([1], 'end')];
      const { reply, transport } = await run(scripts, RESUMABLE);
      expect(reply.eventIds).toEqual([1]);
      expect(transport.aborted).toBe(1);
      expect(reply.outcome).toBe('ended');
    },
  );

  test('an event without end breaks off a stream that may not run again', async () => {
    const flood: scriptedTransport.Script = (handler) => {
      fixtures.streamEvents([1], 'hang')(handler);
      for (let count = 0; count < 64; count += 1) handler.onData(Buffer.alloc(32 * 1024, 'x'));
    };
    const { reply, transport } = await run([flood], STREAM);
    expect(reply.outcome).toBe('broken');
    expect(transport.aborted).toBe(1);
  });

  test('a target that did not run the request does not count as a try', async () => {
    const scripts = [fixtures.fail(NOT_RUN), fixtures.streamEvents([1], 'end')];
    const { reply } = await run(scripts, { ...STREAM, maximumAttempts: 1 });
    expect(reply.outcome).toBe('ended');
  });

  test('a stream whose time is over before goes to no target and is refused as not run', async () => {
    const scripts = [fixtures.streamEvents([1], 'end')];
    const { outcome, reply, transport } = await run(scripts, STREAM, { patienceMs: 0 });
    expect(transport.sent).toHaveLength(0);
    expect(reply.fault).toMatchObject({ kind: 'deadline-unreachable', run: 'not-run' });
    expect(reply.fault?.retryAfterMs).toBeGreaterThan(0);
    expect(outcome).toEqual({ tokens: 0, isComplete: false, isKept: false });
  });

  test('a request that is lost before its first event ends with an unknown outcome', async () => {
    const { reply } = await run([fixtures.fail(LOST)], STREAM);
    expect(reply.fault?.kind).toBe('target-failed');
  });

  test('keeps the input and what was generated before the end is sent', async () => {
    const { outcome, parts, reply } = await run([fixtures.streamEvents([1, 2], 'end')], KEPT);
    expect(parts.kept).toEqual(['bodytext 1\ntext 2\n']);
    expect(outcome.isKept).toBe(true);
    expect(reply.outcome).toBe('ended');
  });

  test('the end of a kept turn waits until what it used is on record', async () => {
    const used: number[] = [];
    let isEndedBefore: boolean | undefined;
    const transport = [fixtures.streamEvents([1, 2], 'end')];
    let sent: recordedReply.RecordedReply | undefined;
    const recordUse = async (tokens: number): Promise<boolean> => {
      used.push(tokens);
      await new Promise((resolve) => {
        setTimeout(resolve, 30);
      });
      isEndedBefore = sent?.outcome === 'ended';
      return true;
    };
    const { reply } = await run(transport, KEPT, {}, { recordUse }, (created) => {
      sent = created;
    });
    expect(used).toEqual([40]);
    expect(isEndedBefore).toBe(false);
    expect(reply.outcome).toBe('ended');
  });

  test('a record that takes long holds up the end of a kept turn for a moment only', async () => {
    const transport = [fixtures.streamEvents([1], 'end')];
    const recordUse = (): Promise<never> => new Promise<never>(() => {});
    const startedAt = Date.now();
    const { reply } = await run(transport, KEPT, { patienceMs: 2_000 }, { recordUse });
    expect(reply.outcome).toBe('ended');
    expect(Date.now() - startedAt).toBeLessThan(500);
  });

  test('a turn that could not be kept does not end as complete', async () => {
    const turns = {
      history: async () => trueMyth.Result.ok({ contents: [], turns: [] }),
      keep: async () => trueMyth.Result.err(errors.createFault('log-unavailable')),
    };
    const { outcome, reply } = await run([fixtures.streamEvents([1], 'end')], KEPT, {}, { turns });
    expect(reply.outcome).toBe('broken');
    expect(outcome.isKept).toBe(false);
  });

  test('a kept turn that a caller resumes is run whole and passed on in part', async () => {
    const scripts = [fixtures.streamEvents([1, 2, 3], 'end')];
    const { parts, reply, transport } = await run(scripts, KEPT, { lastEventId: 2 });
    expect(transport.sent[0]?.request.lastEventId).toBeUndefined();
    expect(reply.eventIds).toEqual([3]);
    expect(parts.kept).toEqual(['bodytext 1\ntext 2\ntext 3\n']);
  });

  test('hands nothing out before the budget is on record', async () => {
    let release: (isCovered: boolean) => void = () => undefined;
    const covered = new Promise<boolean>((resolve) => {
      release = resolve;
    });
    const transport = new scriptedTransport.ScriptedTransport([
      fixtures.streamEvents([1, 2], 'end'),
    ]);
    const parts = fixtures.createParts(transport, TARGETS);
    const reply = new recordedReply.RecordedReply();
    const context = fixtures.createContext(parts, STREAM);
    const recordUse = async (): Promise<boolean> => true;
    const plan = { body: context.call.body, tokensPerEvent: 20, covered, recordUse };
    const running = new streamCall.StreamCall(parts, context, plan, reply).run();
    await new Promise((resolve) => {
      setTimeout(resolve, 50);
    });
    expect(transport.sent).toHaveLength(1);
    expect(reply.hasStarted).toBe(false);
    release(true);
    await running;
    expect(reply.eventIds).toEqual([1, 2]);
  });

  test('a caller that goes away stops the target', async () => {
    const caller = new AbortController();
    const script: scriptedTransport.Script = (handler) => {
      fixtures.streamEvents([1], 'hang')(handler);
      caller.abort();
    };
    const { outcome, transport } = await run([script], STREAM, { gone: caller.signal });
    expect(transport.aborted).toBe(1);
    expect(outcome.tokens).toBe(20);
  });
});
