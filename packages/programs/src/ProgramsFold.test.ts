import * as clockPackage from '@limpettack/clock';
import * as jestGlobals from '@jest/globals';
import * as fastCheck from 'fast-check';
import * as digests from './digests.js';
import * as programsFold from './ProgramsFold.js';
import * as records from './records.js';
import type { JournalBody, RecordedTurn, ShardState } from './Types.js';

const { describe, expect, test } = jestGlobals;
const { RECORD_KINDS } = records;

const BUDGET = { tokens: 100, calls: 10, wallTimeMs: 60_000 };
const PROPERTY = { seed: 20_261_204, numRuns: 300 };

function createFixture() {
  const fold = new programsFold.ProgramsFold(new clockPackage.ManualClock());
  const state = fold.createState();
  let offset = 0;
  const apply = (body: JournalBody, isReplicated = false): void => {
    const position = { offset: isReplicated ? -1 : offset, epoch: 1, ageMs: 0 };
    offset += 1;
    fold.apply(state, body, position);
  };
  const claim = (incarnation: string, handedOver: boolean): void => {
    const owner = { name: 'vm', incarnation, address: '127.0.0.1:1' };
    fold.applyClaim(state, { shard: 0, epoch: 2, owner }, handedOver);
  };
  return { fold, state, apply, claim };
}

function opened(program: string, parent?: string, budget = BUDGET): JournalBody {
  return {
    kind: RECORD_KINDS.PROGRAM_OPENED,
    program,
    workspace: 'acme',
    route: 'agent',
    parent,
    budget,
    reserved: { tokens: 40, calls: 4 },
  };
}

function completedTurn(state: ShardState, program: string, used: number, reserved: number) {
  const before = state.programs.get(program)?.turns.at(-1);
  const body: Omit<RecordedTurn, 'chainDigest'> = {
    turn: (before?.turn ?? 0) + 1,
    requestId: 'r',
    requestDigest: 'd',
    messages: [{ role: 'user', content: 'hello' }],
    answer: { status: 200, headers: {}, body: '', chunks: [] },
    target: 'engine',
  };
  const completed = { ...body, chainDigest: digests.chainTurn(before, body) };
  return {
    kind: RECORD_KINDS.TURN_COMPLETED,
    program,
    completed,
    used: { tokens: used, calls: 1 },
    reserved: { tokens: reserved, calls: 4 },
  } as const;
}

describe('ProgramsFold', () => {
  test('keeps the turns in order and marks a program with a broken chain as incomplete', () => {
    const { state, apply } = createFixture();
    apply(opened('p'));
    apply(completedTurn(state, 'p', 5, 40));
    const second = completedTurn(state, 'p', 5, 40);
    apply(second);
    expect(state.programs.get('p')?.turns).toHaveLength(2);
    expect(state.programs.get('p')?.complete).toBe(true);
    // The turn has the number of the next turn, but its digest is chained to a turn other than the
    // last.
    apply({ ...second, completed: { ...second.completed, turn: 3 } });
    expect(state.programs.get('p')?.turns).toHaveLength(2);
    expect(state.programs.get('p')?.complete).toBe(false);
  });

  test('marks a program as incomplete when a turn is missing', () => {
    const { state, apply } = createFixture();
    apply(opened('p'));
    const first = completedTurn(state, 'p', 5, 40);
    apply({ ...first, completed: { ...first.completed, turn: 2 } });
    expect(state.programs.get('p')?.turns).toHaveLength(0);
    expect(state.programs.get('p')?.complete).toBe(false);
  });

  test('uses the first record of a turn that ran twice and charges the usage of both', () => {
    const { state, apply } = createFixture();
    apply(opened('p'));
    const first = completedTurn(state, 'p', 5, 40);
    const answer = { status: 200, headers: {}, body: 'b3RoZXI=', chunks: [] };
    const again = { ...first.completed, answer };
    const chainDigest = digests.chainTurn(undefined, again);
    apply(first);
    apply({ ...first, completed: { ...again, chainDigest } });
    const program = state.programs.get('p');
    expect(program?.turns).toEqual([first.completed]);
    expect(program?.complete).toBe(true);
    expect(program?.spent).toEqual({ tokens: 10, calls: 2 });
    apply(completedTurn(state, 'p', 5, 40));
    expect(program?.turns).toHaveLength(2);
  });

  test('treats the reservation of an earlier owner as spent, unless it handed over or renewed', () => {
    const { state, apply, claim } = createFixture();
    apply(opened('p'));
    claim('1', true);
    expect(state.programs.get('p')?.spent).toEqual({ tokens: 0, calls: 0 });
    claim('1', false);
    expect(state.programs.get('p')?.spent).toEqual({ tokens: 0, calls: 0 });
    claim('2', false);
    expect(state.programs.get('p')?.spent).toEqual({ tokens: 40, calls: 4 });
    expect(state.programs.get('p')?.reserved).toEqual({ tokens: 0, calls: 0 });
  });

  test('adds no reservation for a replicated record before the log has it', () => {
    const { state, apply } = createFixture();
    apply(opened('p'));
    apply(completedTurn(state, 'p', 30, 40), true);
    expect(state.programs.get('p')?.reserved.tokens).toBe(10);
  });

  test('never spends and reserves more than the budget, whatever the records contain', () => {
    const amount = fastCheck.integer({ min: 0, max: 60 });
    const action = fastCheck.oneof(
      fastCheck.record({ kind: fastCheck.constant('turn'), used: amount, reserved: amount }),
      fastCheck.record({ kind: fastCheck.constant('child'), used: amount, reserved: amount }),
      fastCheck.record({ kind: fastCheck.constant('claim'), used: amount, reserved: amount }),
    );
    const property = fastCheck.property(fastCheck.array(action, { maxLength: 30 }), (actions) => {
      const { state, apply, claim } = createFixture();
      apply(opened('p'));
      actions.forEach(({ kind, used, reserved }, index) => {
        const program = state.programs.get('p');
        if (program === undefined) return;
        // A home uses only reserved tokens, so a turn never reports more than these.
        const spendable = Math.min(used, program.reserved.tokens);
        if (kind === 'turn' && program.reserved.calls > 0) {
          apply(completedTurn(state, 'p', spendable, reserved));
        } else if (kind === 'child') {
          apply(opened(`c${index}`, 'p', { tokens: used, calls: 1, wallTimeMs: 1 }));
        } else if (kind === 'claim') {
          claim(String(index), false);
        }
        expect(program.spent.tokens + program.reserved.tokens).toBeLessThanOrEqual(BUDGET.tokens);
        expect(program.spent.calls + program.reserved.calls).toBeLessThanOrEqual(BUDGET.calls);
      });
    });
    fastCheck.assert(property, PROPERTY);
  });

  test('does not treat an incomplete program as complete after its renewal', () => {
    const { fold, state, apply } = createFixture();
    apply(opened('p'));
    const first = completedTurn(state, 'p', 5, 40);
    apply({ ...first, completed: { ...first.completed, turn: 2 } });
    const next = createFixture();
    fold.renew(state, 100).forEach((body) => next.apply(records.JOURNAL_BODY.parse(body)));
    expect(next.state.programs.get('p')?.complete ?? false).toBe(false);
  });

  test('keeps the state object of a running turn when the program is renewed', () => {
    const { fold, state, apply } = createFixture();
    apply(opened('p'));
    apply(completedTurn(state, 'p', 5, 40));
    const before = state.programs.get('p');
    fold.renew(state, 100).forEach((body) => apply(records.JOURNAL_BODY.parse(body)));
    expect(state.programs.get('p')).toBe(before);
    expect(before?.turns).toHaveLength(1);
    expect(before?.oldestOffset).toBe(2);
  });

  test('renews a live program and an open call beyond the retention of their records', () => {
    const { fold, state, apply } = createFixture();
    apply(opened('p'));
    apply(completedTurn(state, 'p', 5, 40));
    apply({
      kind: RECORD_KINDS.CALL_INTENDED,
      callKey: 'key',
      intentId: 'i',
      requestDigest: 'd',
      route: 'orders',
      target: 'service',
      idempotencyKey: 'k',
    });
    const next = createFixture();
    fold.renew(state, 100).forEach((body) => next.apply(records.JOURNAL_BODY.parse(body)));
    expect(next.state.programs.get('p')?.turns).toEqual(state.programs.get('p')?.turns);
    expect(next.state.programs.get('p')?.complete).toBe(true);
    expect(next.state.keyedCalls.get('key')?.outcome).toBeUndefined();
    expect(next.state.keyedCalls.has('key')).toBe(true);
    // The call belongs to no program, so its outcome is kept only as long as its records.
    const answer = { status: 200, headers: {}, body: 'b2s=', chunks: [] };
    apply({ kind: RECORD_KINDS.CALL_COMPLETED, callKey: 'key', answer });
    fold.renew(state, 100);
    expect(state.keyedCalls.has('key')).toBe(false);
  });

  test("keeps the outcome of a live program's call as long as the program", () => {
    const { fold, state, apply } = createFixture();
    const answer = { status: 200, headers: {}, body: 'b2s=', chunks: [] };
    const call = {
      callKey: 'key',
      intentId: 'i',
      requestDigest: 'd',
      route: 'orders',
      program: 'p',
    };
    apply(opened('p'));
    apply({
      kind: RECORD_KINDS.CALL_INTENDED,
      ...call,
      target: 'service',
      idempotencyKey: 'k',
    });
    apply({ kind: RECORD_KINDS.CALL_COMPLETED, callKey: 'key', answer });
    const next = createFixture();
    fold.renew(state, 100).forEach((body) => next.apply(records.JOURNAL_BODY.parse(body)));
    expect(next.state.keyedCalls.get('key')?.response).toEqual(answer);
  });
});
