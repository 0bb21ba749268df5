import * as clockPackage from '@limpettack/clock';
import * as errors from '@limpettack/errors';
import * as journal from '@limpettack/journal';
import * as jestGlobals from '@jest/globals';
import * as trueMyth from 'true-myth';
import * as keyedCaller from './KeyedCaller.js';
import * as programsFold from './ProgramsFold.js';
import type { JournalBody } from './Types.js';

const { describe, expect, test } = jestGlobals;

const KEY = 'key';
const ANSWER = { status: 200, headers: {}, body: Buffer.from('ok') };

type Options = keyedCaller.KeyedCallerOptions;
type Keyed = keyedCaller.PreparedKeyedCall;

/** A home whose log rejects the first intent with the detail that it may be in the log. */
function createFixture() {
  const clock = new clockPackage.ManualClock();
  const fold = new programsFold.ProgramsFold(clock);
  const state = fold.createState();
  const sent: string[] = [];
  const isRunningAtDispatch: boolean[] = [];
  const refused: JournalBody[] = [];
  const position = { offset: 0, epoch: 1, ageMs: 0 };
  const apply = (body: JournalBody): void => fold.apply(state, body, position);
  const append = async (_shard: number, body: JournalBody) => {
    if (body.kind === 'callIntended' && refused.length === 0) {
      refused.push(body);
      const details = { mayCount: true };
      return trueMyth.Result.err(errors.createFault('log-unavailable', undefined, { details }));
    }
    apply(body);
    const durability = journal.DURABILITIES.JOURNALED;
    return trueMyth.Result.ok({ durability, offset: 0, epoch: 1 });
  };
  const slot = { target: 'service', dispose: () => undefined };
  const caller: keyedCaller.KeyedCaller = new keyedCaller.KeyedCaller({
    shards: { isLogAvailable: () => true, owned: () => ({ state }), append },
    services: {
      acquire: async () => trueMyth.Result.ok(slot),
      dispatch: async () => {
        sent.push(KEY);
        const [intent] = [...state.keyedCalls.values()];
        isRunningAtDispatch.push(caller.isRunning(intent?.intentId ?? ''));
        return trueMyth.Result.ok(trueMyth.Result.ok(ANSWER));
      },
    },
    reports: { report: async () => false },
    client: {},
    clock,
    logger: { warn: () => undefined },
  } as unknown as Options);
  const call = { shard: 0, turn: 0, request: {}, route: { name: 'orders' }, pool: {} };
  const keyed = {
    prepared: { call },
    callKey: KEY,
    requestDigest: 'd',
    idempotencyKey: 'k',
  } as unknown as Keyed;
  return { run: () => caller.run(keyed), apply, refused, sent, isRunningAtDispatch };
}

describe('KeyedCaller', () => {
  test('runs a call once when its intent took effect although the append failed', async () => {
    const { run, apply, refused, sent } = createFixture();
    expect(await run()).toMatchObject({ error: { kind: 'log-unavailable', run: 'not-run' } });
    refused.forEach(apply);
    expect((await run()).isOk).toBe(true);
    expect((await run()).isOk).toBe(true);
    expect(sent).toEqual([KEY]);
  });

  test('distinguishes a running call from a call in doubt', async () => {
    const { run, apply, refused, sent, isRunningAtDispatch } = createFixture();
    await run();
    refused.forEach(apply);
    await run();
    expect(sent).toEqual([KEY]);
    expect(isRunningAtDispatch).toEqual([true]);
  });

  test("never runs a call again for another home's intent with the same key", async () => {
    const { run, apply, refused, sent } = createFixture();
    await run();
    // The rejected intent is not in the log. The intent of another home is, and its call may have
    // been dispatched.
    refused.forEach((body) => apply({ ...body, intentId: 'of another home' } as JournalBody));
    expect(await run()).toMatchObject({ error: { kind: 'outcome-unknown', run: 'unknown' } });
    expect(sent).toEqual([]);
  });
});
