import * as errors from '@limpettack/errors';
import type * as journal from '@limpettack/journal';
import * as jestGlobals from '@jest/globals';
import * as trueMyth from 'true-myth';
import * as reservations from './Reservations.js';
import type { JournalBody, ProgramState, ShardState } from './Types.js';

const { describe, expect, test } = jestGlobals;

const SHARD = 0;

/** A program with a reservation, while the log accepts no records. */
function createFixture(budgetTokens: number, reservedTokens: number) {
  const append = () => Promise.resolve(trueMyth.Result.err(errors.createFault('log-unavailable')));
  const shards = { append } as unknown as journal.Journal<ShardState, JournalBody>;
  const program: ProgramState = {
    program: 'p',
    workspace: undefined,
    route: 'agent',
    parent: undefined,
    budget: { tokens: budgetTokens, calls: 100, wallTimeMs: 60_000 },
    openedAt: 0,
    spent: { tokens: 0, calls: 0 },
    reserved: { tokens: reservedTokens, calls: 4 },
    turns: [],
    holdings: new Set(),
    ended: undefined,
    complete: true,
    oldestOffset: 0,
  };
  return { budget: new reservations.Reservations(shards), program };
}

async function resultOfRetry(budgetTokens: number, reservedTokens: number): Promise<string> {
  const { budget, program } = createFixture(budgetTokens, reservedTokens);
  const reserved = await budget.reserveRetry(SHARD, program, 20, 10);
  return reserved.isErr ? reserved.error.kind : `allowed ${reserved.value}`;
}

describe('Reservations', () => {
  test('grants a further attempt the reserved tokens that earlier attempts cannot have used', async () => {
    expect(await resultOfRetry(100, 40)).toBe('allowed 10');
    expect(await resultOfRetry(100, 25)).toBe('allowed 5');
  });

  test('leaves part of a small budget unreserved for child programs', () => {
    const { budget, program } = createFixture(300, 0);
    const next = budget.next(program, { tokens: 20, calls: 1 }, 512);
    expect(next.tokens).toBe(140);
    expect(next.calls).toBe(4);
    // What the current call needs is always reserved.
    expect(
      reservations.amountToReserve({ tokens: 30, calls: 1 }, 512, { tokens: 30, calls: 1 }),
    ).toEqual({
      tokens: 30,
      calls: 1,
    });
  });

  test('distinguishes an exhausted budget from one that is not reserved because of an outage', async () => {
    expect(await resultOfRetry(1_000, 20)).toBe('budget-not-reserved');
    expect(await resultOfRetry(20, 20)).toBe('budget-exhausted');
  });
});
