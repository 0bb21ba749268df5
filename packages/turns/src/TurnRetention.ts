import type * as clock from '@limpettack/clock';
import type * as lifetime from '@limpettack/lifetime';
import * as keptTurns from './KeptTurns.js';

/** Between two rounds of removals. */
const REMOVAL_INTERVAL_MS = 10_000;

/** Removals of one round at most. */
const REMOVALS_PER_ROUND = 200;

/**
 * A turn is kept so much longer than its retention. The retention counts from the end of the answer
 * at the caller, after the record of the turn: the record of its budget and the delivery of the last
 * events lie between. A request that comes just in time also waits before it reads its history.
 */
const MARGIN_MS = 3_000;

/** What the retention needs. */
export interface TurnRetentionOptions {
  readonly clock: clock.Clock;
  /** Takes a turn out of the log. */
  readonly remove: (turn: keptTurns.KeptTurn) => void;
}

/** Has the turns that this process wrote removed when their time is over. */
export class TurnRetention implements lifetime.Disposable {
  private readonly kept = new keptTurns.KeptTurns();

  private removals: clock.Timer | undefined;

  public constructor(private readonly options: TurnRetentionOptions) {
    this.scheduleRemovals();
  }

  /** Begins to keep a turn that this process has just written. */
  public keep(turn: keptTurns.KeptTurn, retentionMs: clock.Milliseconds): void {
    this.kept.add(turn, this.options.clock.now() + retentionMs + MARGIN_MS);
  }

  /** @inheritdoc */
  public dispose(): void {
    this.removals?.cancel();
  }

  private scheduleRemovals(): void {
    const { clock: time } = this.options;
    this.removals = time.startTimer(REMOVAL_INTERVAL_MS, () => {
      this.removeExpired();
      this.scheduleRemovals();
    });
  }

  private removeExpired(): void {
    const { clock: time, remove } = this.options;
    this.kept.takeExpired(time.now(), REMOVALS_PER_ROUND).forEach(remove);
  }
}
