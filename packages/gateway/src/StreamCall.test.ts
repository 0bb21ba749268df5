import * as jestGlobals from '@jest/globals';
import * as turnStore from '@limpettack/turns';
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
const RETAINING = { ...STREAM, retainsTurns: true };
const TARGETS = ['one', 'two', 'three'].map((id) => fixtures.createTarget(id));

interface Run {
  readonly reply: recordedReply.RecordedReply;
  readonly outcome: streamCall.StreamOutcome;
  readonly transport: scriptedTransport.ScriptedTransport;
  readonly dependencies: fixtures.TestDependencies;
}

async function run(
  scripts: scriptedTransport.Script[],
  route: Partial<Route>,
  call: Partial<Call> = {},
  changes: Partial<fixtures.TestDependencies> & Partial<streamCall.StreamPlan> = {},
  onReply: (reply: recordedReply.RecordedReply) => void = () => undefined,
): Promise<Run> {
  const transport = new scriptedTransport.ScriptedTransport(scripts);
  const {
    budgetRecorded,
    onHeld,
    uncoveredTokens,
    recordUsage = async () => true,
    ...dependencyChanges
  } = changes;
  const dependencies = fixtures.createDependencies(transport, TARGETS, dependencyChanges);
  const reply = new recordedReply.RecordedReply();
  onReply(reply);
  const context = fixtures.createContext(dependencies, route, call);
  const memory = new turnStore.TurnMemory(1_000_000).open();
  const plan = {
    body: context.call.body,
    memory,
    tokensPerEvent: 20,
    budgetRecorded,
    uncoveredTokens,
    recordUsage,
    ...(onHeld === undefined ? {} : { onHeld }),
  };
  const outcome = await new streamCall.StreamCall(dependencies, context, plan, reply).run();
  return { reply, outcome, transport, dependencies };
}

describe('StreamCall', () => {
  test('passes on each event once and counts the tokens', async () => {
    const { outcome, reply } = await run([fixtures.streamEvents([1, 2, 3], 'end')], STREAM);
    expect(reply.eventIds).toEqual([1, 2, 3]);
    expect(reply.outcome).toBe('ended');
    expect(outcome).toEqual({ tokens: 60, isComplete: true, isKept: false });
  });

  test('resumes at another target after the last event that was passed on', async () => {
    const scripts = [fixtures.streamEvents([1, 2], 'break'), fixtures.streamEvents([2, 3], 'end')];
    const { reply, transport } = await run(scripts, RESUMABLE);
    expect(reply.eventIds).toEqual([1, 2, 3]);
    expect(transport.sent[1]?.request.lastEventId).toBe(2);
    expect(reply.outcome).toBe('ended');
  });

  test('a stream that may not be resumed is aborted and never looks complete', async () => {
    const scripts = [fixtures.streamEvents([1], 'break'), fixtures.streamEvents([2], 'end')];
    const { outcome, reply, transport } = await run(scripts, STREAM);
    expect(transport.sent).toHaveLength(1);
    expect(reply.outcome).toBe('broken');
    expect(outcome).toEqual({ tokens: 20, isComplete: false, isKept: false });
  });

  // Other relays wrote the error into the stream, or ended the stream as if it were complete.
  test('an error of the target that resumes a stream does not reach the caller', async () => {
    const scripts = [fixtures.streamEvents([1], 'break'), fixtures.sendResponse('error', 500)];
    const { outcome, reply } = await run(scripts, RESUMABLE);
    expect(reply.chunks).toEqual([fixtures.eventBytes(1).toString()]);
    expect(reply.response).toBeUndefined();
    expect(reply.outcome).toBe('broken');
    expect(outcome.isComplete).toBe(false);
  });

  test('a stream resumes at a further target after an error of the one before', async () => {
    const scripts = [
      fixtures.streamEvents([1], 'break'),
      fixtures.sendResponse('error', 500),
      fixtures.streamEvents([2], 'end'),
    ];
    const { reply, transport } = await run(scripts, { ...RESUMABLE, maximumAttempts: 3 });
    expect(reply.eventIds).toEqual([1, 2]);
    expect(reply.outcome).toBe('ended');
    expect(transport.sent).toHaveLength(3);
  });

  test('a stream that ends within an event is not complete', async () => {
    const script: scriptedTransport.Script = (handler) => {
      handler.onHead(fixtures.HEAD);
      handler.onData(fixtures.eventBytes(1));
      handler.onData(Buffer.from('id: 2\ndata: ha'));
      handler.onEnd();
    };
    const { dependencies, reply } = await run([script], STREAM);
    expect(reply.eventIds).toEqual([1]);
    expect(reply.outcome).toBe('broken');
    // It is no evidence that the request does not crash its targets.
    expect(dependencies.completedRequests).toEqual([]);
  });

  // Streams that their callers did not read were received in full: 40 of them took 1.1 GB.
  test('receives no more while the caller does not read, and the target is not late', async () => {
    let read = (): void => undefined;
    const script: scriptedTransport.Script = async (handler) => {
      handler.onHead(fixtures.HEAD);
      handler.onData(fixtures.eventBytes(1));
      await new Promise((resolve) => {
        setTimeout(resolve, 900);
      });
      read();
      setImmediate(() => {
        handler.onData(fixtures.eventBytes(2));
        handler.onEnd();
      });
    };
    const scripts = [script, fixtures.streamEvents([2], 'end')];
    const route = { ...RESUMABLE, timeoutMs: 4_000 };
    const { reply, transport } = await run(scripts, route, { timeoutMs: 4_000 }, {}, (recorded) => {
      const { resolve, promise } = createSignal();
      Object.assign(recorded, { reading: promise });
      read = () => {
        Object.assign(recorded, { reading: undefined });
        resolve();
      };
    });
    expect(transport.flow).toEqual(['pause', 'resume']);
    expect(transport.sent).toHaveLength(1);
    expect(reply.eventIds).toEqual([1, 2]);
    expect(reply.outcome).toBe('ended');
  });

  test('a stream that its caller does not read ends at its deadline', async () => {
    const scripts = [fixtures.streamEvents([1], 'hang')];
    const { reply, transport } = await run(scripts, STREAM, { timeoutMs: 100 }, {}, (recorded) =>
      Object.assign(recorded, { reading: new Promise(() => {}) }),
    );
    expect(reply.outcome).toBe('broken');
    expect(transport.aborted).toBe(1);
  });

  test('a stalled stream resumes at another target', async () => {
    const scripts = [fixtures.streamEvents([1], 'hang'), fixtures.streamEvents([2], 'end')];
    const { dependencies, reply, transport } = await run(
      scripts,
      { ...RESUMABLE, timeoutMs: 4_000 },
      {
        timeoutMs: 4_000,
      },
    );
    expect(reply.eventIds).toEqual([1, 2]);
    expect(transport.aborted).toBe(1);
    const [stalled] = transport.sent;
    const ids = TARGETS.map(({ id }) => id);
    expect(dependencies.scores.compare(ids).get(stalled!.target)?.isPaused).toBe(true);
  });

  test('single bytes without a complete event do not keep a stream at its target', async () => {
    const drip: scriptedTransport.Script = (handler) => {
      fixtures.streamEvents([1], 'hang')(handler);
      const timer = setInterval(() => handler.onData(Buffer.from('x')), 50);
      timer.unref();
    };
    const scripts = [drip, fixtures.streamEvents([2], 'end')];
    const startedAt = Date.now();
    const route = { ...RESUMABLE, timeoutMs: 10_000 };
    const { reply, transport } = await run(scripts, route, { timeoutMs: 10_000 });
    expect(reply.eventIds).toEqual([1, 2]);
    expect(transport.aborted).toBe(1);
    expect(Date.now() - startedAt).toBeLessThan(2_000);
  });

  test('a slow stream of complete events stays at its target', async () => {
    const slow: scriptedTransport.Script = (handler) => {
      handler.onHead(fixtures.HEAD);
      [1, 2, 3].forEach((id) => {
        setTimeout(() => handler.onData(fixtures.eventBytes(id)), 500 * id);
      });
      setTimeout(() => handler.onEnd(), 2_000);
    };
    const route = { ...RESUMABLE, timeoutMs: 10_000 };
    const { reply, transport } = await run([slow], route, { timeoutMs: 10_000 });
    expect(reply.eventIds).toEqual([1, 2, 3]);
    expect(transport.sent).toHaveLength(1);
    expect(reply.outcome).toBe('ended');
  });

  test.each([
    ['an event', 200],
    ['an error', 500],
  ])(
    '%s without end is abandoned, and the stream resumes at another target',
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

  test('an endless event aborts a stream that may not run again', async () => {
    const flood: scriptedTransport.Script = (handler) => {
      fixtures.streamEvents([1], 'hang')(handler);
      for (let count = 0; count < 64; count += 1) handler.onData(Buffer.alloc(32 * 1024, 'x'));
    };
    const { reply, transport } = await run([flood], STREAM);
    expect(reply.outcome).toBe('broken');
    expect(transport.aborted).toBe(1);
  });

  test('a target that did not run the request does not count as an attempt', async () => {
    const scripts = [fixtures.fail(NOT_RUN), fixtures.streamEvents([1], 'end')];
    const { reply } = await run(scripts, { ...STREAM, maximumAttempts: 1 });
    expect(reply.outcome).toBe('ended');
  });

  test('a stream past its deadline is sent to no target and refused as not run', async () => {
    const scripts = [fixtures.streamEvents([1], 'end')];
    const { outcome, reply, transport } = await run(scripts, STREAM, { timeoutMs: 0 });
    expect(transport.sent).toHaveLength(0);
    expect(reply.fault).toMatchObject({ kind: 'deadline-unreachable', run: 'not-run' });
    expect(reply.fault?.retryAfterMs).toBeGreaterThan(0);
    expect(outcome).toEqual({ tokens: 0, isComplete: false, isKept: false });
  });

  test('a request that is lost before its first event has an unknown outcome', async () => {
    const { reply } = await run([fixtures.fail(LOST)], STREAM);
    expect(reply.fault?.kind).toBe('target-failed');
  });

  test('retains the input and the output before the end is sent', async () => {
    const { outcome, dependencies, reply } = await run(
      [fixtures.streamEvents([1, 2], 'end')],
      RETAINING,
    );
    expect(dependencies.retainedContents).toEqual(['bodytext 1\ntext 2\n']);
    expect(outcome.isKept).toBe(true);
    expect(reply.outcome).toBe('ended');
  });

  // Engines write Unicode line separators like any other text. What followed one in an event was
  // missing from the history of the turns that continue this one.
  test('retains the whole text of an event with a line separator', async () => {
    const text = 'the first line\u2028the second line';
    const script: scriptedTransport.Script = (handler) => {
      handler.onHead(fixtures.HEAD);
      handler.onData(Buffer.from(`id: 1\ndata: ${text}\n\n: still there\n\n`));
      handler.onEnd();
    };
    const { dependencies, outcome } = await run([script], RETAINING);
    expect(dependencies.retainedContents).toEqual([`body${text}\n`]);
    expect(outcome.tokens).toBe(20);
  });

  test('the end of a retained turn waits until its usage is recorded', async () => {
    const used: number[] = [];
    let isEndedBefore: boolean | undefined;
    const transport = [fixtures.streamEvents([1, 2], 'end')];
    let sent: recordedReply.RecordedReply | undefined;
    const recordUsage = async (tokens: number): Promise<boolean> => {
      used.push(tokens);
      await new Promise((resolve) => {
        setTimeout(resolve, 30);
      });
      isEndedBefore = sent?.outcome === 'ended';
      return true;
    };
    const { reply } = await run(transport, RETAINING, {}, { recordUsage }, (created) => {
      sent = created;
    });
    expect(used).toEqual([40]);
    expect(isEndedBefore).toBe(false);
    expect(reply.outcome).toBe('ended');
  });

  test('a slow usage record delays the end of a retained turn only briefly', async () => {
    const transport = [fixtures.streamEvents([1], 'end')];
    const recordUsage = (): Promise<never> => new Promise<never>(() => {});
    const startedAt = Date.now();
    const { reply } = await run(transport, RETAINING, { timeoutMs: 2_000 }, { recordUsage });
    expect(reply.outcome).toBe('ended');
    expect(Date.now() - startedAt).toBeLessThan(500);
  });

  // Replays an outage of the log that begins as a turn ends and lasts nearly as long as the caller's
  // time: a stream that was aborted earlier could only be run again.
  test('the end of a retained turn waits for the log as long as its caller does', async () => {
    const outageMs = 4_500;
    const keep = async (
      _turn: unknown,
      timeoutMs: number,
    ): Promise<trueMyth.Result<void, errors.Fault>> => {
      if (timeoutMs >= outageMs) return trueMyth.Result.ok(undefined);
      return trueMyth.Result.err(errors.createFault('log-unavailable'));
    };
    const turns = {
      admit: () => true,
      history: async () => trueMyth.Result.ok({ contents: [], turns: [] }),
      keep,
    };
    const scripts = [fixtures.streamEvents([1, 2], 'end')];
    const { outcome } = await run(
      scripts,
      { ...RETAINING, timeoutMs: 5_000 },
      { timeoutMs: 5_000 },
      { turns },
    );
    expect(outcome).toEqual({ tokens: 40, isComplete: true, isKept: true });
  });

  test('a turn that could not be retained does not end as complete', async () => {
    const turns = {
      admit: () => true,
      history: async () => trueMyth.Result.ok({ contents: [], turns: [] }),
      keep: async () => trueMyth.Result.err(errors.createFault('log-unavailable')),
    };
    const { outcome, reply } = await run(
      [fixtures.streamEvents([1], 'end')],
      RETAINING,
      {},
      { turns },
    );
    expect(reply.outcome).toBe('broken');
    expect(outcome.isKept).toBe(false);
  });

  test('a retained turn that a caller resumes runs completely and is passed on from the last event', async () => {
    const scripts = [fixtures.streamEvents([1, 2, 3], 'end')];
    const { dependencies, reply, transport } = await run(scripts, RETAINING, { lastEventId: 2 });
    expect(transport.sent[0]?.request.lastEventId).toBeUndefined();
    expect(reply.eventIds).toEqual([3]);
    expect(dependencies.retainedContents).toEqual(['bodytext 1\ntext 2\ntext 3\n']);
  });

  test('sends no output before the budget is recorded', async () => {
    let release: (isCovered: boolean) => void = () => undefined;
    const budgetRecorded = new Promise<boolean>((resolve) => {
      release = resolve;
    });
    const transport = new scriptedTransport.ScriptedTransport([
      fixtures.streamEvents([1, 2], 'end'),
    ]);
    const dependencies = fixtures.createDependencies(transport, TARGETS);
    const reply = new recordedReply.RecordedReply();
    const context = fixtures.createContext(dependencies, STREAM);
    const recordUsage = async (): Promise<boolean> => true;
    const memory = new turnStore.TurnMemory(1_000_000).open();
    const plan = {
      body: context.call.body,
      memory,
      tokensPerEvent: 20,
      budgetRecorded,
      recordUsage,
    };
    const running = new streamCall.StreamCall(dependencies, context, plan, reply).run();
    await new Promise((resolve) => {
      setTimeout(resolve, 50);
    });
    expect(transport.sent).toHaveLength(1);
    expect(reply.hasStarted).toBe(false);
    release(true);
    await running;
    expect(reply.eventIds).toEqual([1, 2]);
  });

  // A program would wait for the log although its home lets it continue without.
  test('a stream whose whole output fits its allowance ends before the budget is recorded', async () => {
    const changes = {
      budgetRecorded: createSignal().promise.then(() => true),
      uncoveredTokens: 60,
      onHeld: () => {
        throw new Error('Output is held back.');
      },
    };
    const scripts = [fixtures.streamEvents([1, 2, 3], 'end')];
    const { outcome, reply } = await run(scripts, STREAM, {}, changes);
    expect(reply.eventIds).toEqual([1, 2, 3]);
    expect(outcome).toEqual({ tokens: 60, isComplete: true, isKept: false });
  });

  // Output beyond the allowance would exceed the budget if the home is lost.
  test('output beyond the allowance is held back in order until the budget is recorded', async () => {
    const { promise: recorded, resolve: record } = createSignal();
    const idsWhenHeld: (readonly number[])[] = [];
    let heldReply: recordedReply.RecordedReply | undefined;
    const changes = {
      budgetRecorded: recorded.then(() => true),
      uncoveredTokens: 59,
      onHeld: () => {
        setTimeout(() => {
          idsWhenHeld.push([...heldReply!.eventIds]);
          record();
        }, 50);
      },
    };
    const scripts = [fixtures.streamEvents([1, 2, 3, 4], 'end')];
    const { outcome, reply } = await run(scripts, STREAM, {}, changes, (created) => {
      heldReply = created;
    });
    expect(idsWhenHeld).toEqual([[1, 2]]);
    expect(reply.eventIds).toEqual([1, 2, 3, 4]);
    expect(outcome.tokens).toBe(80);
  });

  // All output was received and held for as long as the log did not record the budget.
  test('receives no more while much output waits for the record of the budget', async () => {
    const { promise: recorded, resolve: record } = createSignal();
    const ids = Array.from({ length: 5_000 }, (_, index) => index + 1);
    let sentCount = 0;
    let transport: scriptedTransport.ScriptedTransport | undefined;
    const script: scriptedTransport.Script = (handler) => {
      handler.onHead(fixtures.HEAD);
      const send = (): void => {
        while (transport!.flow.at(-1) !== 'pause' && sentCount < ids.length) {
          handler.onData(fixtures.eventBytes(ids[sentCount]!));
          sentCount += 1;
        }
        if (sentCount === ids.length) handler.onEnd();
        else setImmediate(send);
      };
      send();
    };
    transport = new scriptedTransport.ScriptedTransport([script]);
    const dependencies = fixtures.createDependencies(transport, TARGETS);
    const reply = new recordedReply.RecordedReply();
    const context = fixtures.createContext(dependencies, STREAM);
    const recordUsage = async (): Promise<boolean> => true;
    const budgetRecorded = recorded.then(() => true);
    const memory = new turnStore.TurnMemory(1_000_000).open();
    const usage = { tokensPerEvent: 20, budgetRecorded, recordUsage };
    const plan = { body: context.call.body, memory, ...usage };
    const running = new streamCall.StreamCall(dependencies, context, plan, reply).run();
    await new Promise((resolve) => {
      setTimeout(resolve, 50);
    });
    expect(transport.flow).toEqual(['pause']);
    expect(sentCount * fixtures.eventBytes(1).length).toBeLessThan(128 * 1024);
    record();
    await running;
    expect(transport.flow).toEqual(['pause', 'resume']);
    expect(reply.eventIds).toEqual(ids);
  });

  test('the request to the target is aborted when the caller disconnects', async () => {
    const caller = new AbortController();
    const script: scriptedTransport.Script = (handler) => {
      fixtures.streamEvents([1], 'hang')(handler);
      caller.abort();
    };
    const { outcome, transport } = await run([script], STREAM, { signal: caller.signal });
    expect(transport.aborted).toBe(1);
    expect(outcome.tokens).toBe(20);
  });
});

function createSignal(): { readonly promise: Promise<void>; readonly resolve: () => void } {
  let resolve = (): void => undefined;
  const promise = new Promise<void>((onResolved) => {
    resolve = onResolved;
  });
  return { promise, resolve };
}
