import * as errors from '@limpettack/errors';
import type * as journal from '@limpettack/journal';
import * as trueMyth from 'true-myth';
import * as amounts from './amounts.js';
import * as records from './records.js';
import type { Amount, JournalBody, FaultResult, ProgramState, ShardState } from './Types.js';

/**
 * Number of calls for which a record reserves budget in advance, so that programs can continue
 * during a short log outage.
 */
const CALLS_AHEAD = 4;

/** Limits the usage of programs to what the journal has reserved for them. */
export class Reservations {
  /** Usage of failed turns that is not recorded in the log yet, by program. */
  private readonly unsettled = new Map<string, Amount>();

  public constructor(private readonly shards: journal.Journal<ShardState, JournalBody>) {}

  /**
   * Reserves budget for a call and returns how many tokens it may generate, at most
   * `wantedTokens`. Faults: `budget-exhausted`, `budget-not-reserved`, `not-owner`.
   */
  public async reserve(
    shard: number,
    program: ProgramState,
    wantedTokens: number,
  ): Promise<FaultResult<number>> {
    const left = amounts.subtract(amounts.unspent(program), this.unsettledOf(program));
    if (left.calls < 1 || left.tokens < Math.min(1, wantedTokens)) {
      return trueMyth.Result.err(errors.createFault('budget-exhausted'));
    }
    const needed = { tokens: Math.min(wantedTokens, left.tokens), calls: 1 };
    if (!covers(this.spendable(program), needed)) {
      const appended = await this.append(shard, program, wantedTokens, needed);
      if (appended?.kind === 'not-owner') return trueMyth.Result.err(appended);
    }
    const spendable = this.spendable(program);
    if (spendable.calls < 1 || spendable.tokens < Math.min(1, wantedTokens)) {
      return trueMyth.Result.err(errors.createFault('budget-not-reserved'));
    }
    return trueMyth.Result.ok(Math.min(wantedTokens, spendable.tokens));
  }

  /**
   * Reserves budget for a further attempt at a call, in addition to the tokens that abandoned
   * attempts may have generated. Returns how many tokens the further attempt may generate. Faults:
   * as `reserve`.
   */
  public async reserveRetry(
    shard: number,
    program: ProgramState,
    abandonedTokens: number,
    wantedTokens: number,
  ): Promise<FaultResult<number>> {
    const reserved = await this.reserve(shard, program, abandonedTokens + wantedTokens);
    if (reserved.isErr) return reserved;
    const left = reserved.value - abandonedTokens;
    if (left >= 1) return trueMyth.Result.ok(left);
    const unspent = amounts.subtract(amounts.unspent(program), this.unsettledOf(program));
    const isUsedUp = unspent.tokens <= abandonedTokens;
    const kind = isUsedUp ? 'budget-exhausted' : 'budget-not-reserved';
    return trueMyth.Result.err(errors.createFault(kind));
  }

  /** The amount that the record of a completed turn reserves for the following turns. */
  public next(program: ProgramState, used: Amount, wantedTokens: number): Amount {
    const spent = amounts.add(used, this.unsettledOf(program));
    return amountToReserve(amounts.subtract(amounts.unspent(program), spent), wantedTokens);
  }

  /**
   * Charges a program for what a failed turn may have used. If the journal does not accept the
   * record now, the next reservation records the usage.
   */
  public async settle(shard: number, program: ProgramState, used: Amount): Promise<void> {
    this.unsettled.set(program.program, amounts.add(this.unsettledOf(program), used));
    await this.append(shard, program, 0, amounts.NO_AMOUNT);
  }

  /** Discards the data of a program. */
  public discard(program: string): void {
    this.unsettled.delete(program);
  }

  private spendable(program: ProgramState): Amount {
    return amounts.subtract(program.reserved, this.unsettledOf(program));
  }

  private unsettledOf(program: ProgramState): Amount {
    return this.unsettled.get(program.program) ?? amounts.NO_AMOUNT;
  }

  private async append(
    shard: number,
    program: ProgramState,
    wantedTokens: number,
    needed: Amount,
  ): Promise<errors.Fault | undefined> {
    const used = this.unsettledOf(program);
    const left = amounts.subtract(amounts.unspent(program), used);
    const result = await this.shards.append(
      shard,
      {
        kind: records.RECORD_KINDS.RESERVED,
        program: program.program,
        used,
        reserved: amountToReserve(left, wantedTokens, needed),
      },
      { replicateInOutage: false },
    );
    if (result.isErr) return result.error;
    this.unsettled.set(program.program, amounts.subtract(this.unsettledOf(program), used));
    return undefined;
  }
}

/**
 * The amount to reserve out of the remaining budget: enough for `CALLS_AHEAD` calls, but at most
 * half of it, so that part stays available for child programs. What the current call needs is
 * reserved in any case.
 */
export function amountToReserve(
  left: Amount,
  wantedTokens: number,
  needed: Amount = amounts.NO_AMOUNT,
): Amount {
  const ahead = { tokens: wantedTokens * CALLS_AHEAD, calls: CALLS_AHEAD };
  return amounts.minimum(left, amounts.maximum(needed, amounts.minimum(amounts.half(left), ahead)));
}

function covers(held: Amount, needed: Amount): boolean {
  return held.tokens >= needed.tokens && held.calls >= needed.calls;
}
