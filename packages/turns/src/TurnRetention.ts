import type * as clock from '@limpettack/clock';
import type * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import type * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';
import * as foreignTurns from './ForeignTurns.js';
import * as keepOnTeller from './KeepOnTeller.js';
import * as keptTurns from './KeptTurns.js';
import * as messages from './messages.js';
import type * as turnRecords from './turnRecords.js';

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
  readonly network: wire.PeerNetwork;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  /** Takes a turn out of the log. */
  readonly remove: (turn: keptTurns.KeptTurn) => void;
}

/**
 * Has the turns that this process wrote removed when neither they nor turns that go on from them are
 * kept any more, and tells other processes which of theirs are needed on.
 */
export class TurnRetention implements lifetime.Disposable {
  private readonly kept = new keptTurns.KeptTurns();

  private readonly teller: keepOnTeller.KeepOnTeller;

  private readonly served: lifetime.Disposable;

  private removals: clock.Timer | undefined;

  public constructor(private readonly options: TurnRetentionOptions) {
    this.teller = new keepOnTeller.KeepOnTeller(options);
    this.served = options.network.serve(messages.KEEP_ON, async ({ turns }) => {
      const held = turns.filter(({ spanMs, turn }) => this.keepOnOwn(turn, spanMs));
      return trueMyth.Result.ok({ count: held.length });
    });
    this.scheduleRemovals();
  }

  /** Begins to keep a turn that this process has just written, and keeps its chain for as long. */
  public keep(
    turn: keptTurns.KeptTurn,
    chain: readonly turnRecords.EarlierTurn[],
    retentionMs: clock.Milliseconds,
  ): void {
    this.kept.add(turn, this.options.clock.now() + retentionMs + MARGIN_MS);
    this.keepOn(chain, retentionMs);
  }

  /**
   * Keeps a chain on for a turn that begins: it may end when turns are over that are old already, or
   * that are young when it runs for long. A third is left for ages that are wrong, and to tell others.
   */
  public keepForRun(
    chain: readonly turnRecords.EarlierTurn[],
    retentionMs: clock.Milliseconds,
    mostRunMs: clock.Milliseconds = 0,
  ): void {
    const thirdMs = foreignTurns.KEEP_ON_SHARE * retentionMs;
    const leastAgeMs = Math.min(thirdMs, retentionMs - thirdMs - mostRunMs);
    const endangered = chain.filter((turn) => this.ageOf(turn) >= leastAgeMs);
    this.keepOn(endangered, retentionMs, Math.max(0, mostRunMs - retentionMs));
  }

  /** @inheritdoc */
  public dispose(): void {
    this.removals?.cancel();
    this.teller.dispose();
    this.served.dispose();
  }

  /** Keeps turns on for a retention, which begins only after a delay. */
  private keepOn(
    turns: readonly turnRecords.EarlierTurn[],
    retentionMs: clock.Milliseconds,
    delayMs: clock.Milliseconds = 0,
  ): void {
    const foreign: foreignTurns.ForeignTurn[] = [];
    turns.forEach((turn) => {
      const { id, writer } = turn;
      if (writer === undefined || writer === this.options.network.self.address) {
        this.keepOnOwn(id, delayMs + retentionMs);
      } else {
        foreign.push({ id, writer, ageMs: this.ageOf(turn) });
      }
    });
    this.teller.need(foreign, retentionMs, delayMs);
  }

  private keepOnOwn(id: string, spanMs: clock.Milliseconds): boolean {
    return this.kept.keepOn(id, this.options.clock.now() + spanMs + MARGIN_MS);
  }

  /** How old a turn is, as far as can be told. */
  private ageOf({ writtenAt }: turnRecords.EarlierTurn): clock.Milliseconds {
    return Math.max(0, this.options.clock.timeOfDay() - (writtenAt ?? 0));
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
