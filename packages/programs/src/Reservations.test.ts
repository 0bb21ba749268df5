import * as errors from '@limpettack/errors';
import type * as journal from '@limpettack/journal';
import * as jestGlobals from '@jest/globals';
import * as trueMyth from 'true-myth';
import * as reservations from './Reservations.js';
import type { JournalBody, ProgramState, ShardState } from './Types.js';

const { describe, expect, test } = jestGlobals;

const SHARD = 0;

/** A program with a reservation, while the log takes nothing. */
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
  return { kept: new reservations.Reservations(shards), program };
}

async function kindAfter(budgetTokens: number, reservedTokens: number): Promise<string> {
  const { kept, program } = createFixture(budgetTokens, reservedTokens);
  const reserved = await kept.reserveAfter(SHARD, program, 20, 10);
  return reserved.isErr ? reserved.error.kind : `allowed ${reserved.value}`;
}

describe('Reservations', () => {
  test('allows a further attempt what is reserved beside the earlier ones', async () => {
    expect(await kindAfter(100, 40)).toBe('allowed 10');
    expect(await kindAfter(100, 25)).toBe('allowed 5');
  });

  test('leaves part of a small budget unreserved, for programs below this one', () => {
    const { kept, program } = createFixture(300, 0);
    const next = kept.next(program, { tokens: 20, calls: 1 }, 512);
    expect(next.tokens).toBe(140);
    expect(next.calls).toBe(4);
    // A call is never kept from what it needs.
    expect(reservations.aheadOf({ tokens: 30, calls: 1 }, 512, { tokens: 30, calls: 1 })).toEqual({
      tokens: 30,
      calls: 1,
    });
  });

  test('tells a budget that is used up from one that is not reserved in an outage', async () => {
    expect(await kindAfter(1_000, 20)).toBe('budget-not-reserved');
    expect(await kindAfter(20, 20)).toBe('budget-exhausted');
  });
});
