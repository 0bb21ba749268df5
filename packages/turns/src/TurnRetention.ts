import type * as clock from '@limpettack/clock';
import type * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import type * as membership from '@limpettack/membership';
import type * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';
import * as retentionExtensions from './RetentionExtensions.js';
import * as retentionExtender from './RetentionExtender.js';
import * as retainedTurns from './RetainedTurns.js';
import * as messages from './messages.js';
import type * as turnRecords from './turnRecords.js';

/** Time between two rounds of removals. */
const REMOVAL_INTERVAL_MS = 4_000;

/** A round that is late by this time shows that the process was paused. */
const PAUSE_MS = 1_000;

/** The maximum number of turns in one request for a confirmation. */
const MAXIMUM_TURNS_PER_CONFIRMATION = 1_000;

/**
 * The maximum number of removals in one round. A round removes more turns than a VM writes in the
 * meantime, so that expired turns do not accumulate.
 */
const MAXIMUM_REMOVALS_PER_ROUND = 5_000;

/**
 * How long a turn is kept beyond its retention. The retention counts from the end of the response
 * at the caller. That is later than the record of the turn: the budget is recorded and the last
 * events are delivered in between. A request that arrives at the end of the retention also waits
 * before it reads its history.
 */
const RETENTION_MARGIN_MS = 3_000;

/** Dependencies of the retention. */
export interface TurnRetentionOptions {
  readonly network: wire.PeerNetwork;
  readonly membership: Pick<membership.Membership, 'available' | 'onChange'>;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  /** Removes a turn from the log. Returns whether the log has accepted the removal. */
  readonly remove: (turn: retainedTurns.RetainedTurn) => Promise<boolean>;
  /** Returns those of some expired turns that no stored turn continues that is still needed. */
  readonly confirmRemoval: (turns: readonly string[]) => Promise<readonly string[]>;
}

/**
 * Removes the turns that this process wrote once their own retention and that of all turns that
 * continue them have ended. Asks other processes to extend the retention of turns that they wrote.
 *
 * A process that has continued a turn may end, or be paused or disconnected, before it asks for the
 * extension. So once the members have changed, or this process has been paused, the turns that were
 * written before are removed only if the log holds no needed turn that continues them.
 */
export class TurnRetention implements lifetime.Disposable {
  private readonly retained = new retainedTurns.RetainedTurns();

  private readonly extender: retentionExtender.RetentionExtender;

  private readonly servedMethod: lifetime.Disposable;

  private removalTimer: clock.Timer | undefined;

  /** Turns that were written before this time are removed after a confirmation only. */
  private disturbedAt = Number.NEGATIVE_INFINITY;

  /** Turns whose removal is being confirmed. */
  private readonly unconfirmed = new Set<string>();

  private readonly changeListener: lifetime.Disposable;

  private isDisposed = false;

  public constructor(private readonly options: TurnRetentionOptions) {
    this.extender = new retentionExtender.RetentionExtender(options);
    this.servedMethod = options.network.serve(messages.EXTEND_RETENTION, async ({ turns }) => {
      const extended = turns.filter(({ spanMs, turn }) => this.extendOwn(turn, spanMs));
      return trueMyth.Result.ok({ count: extended.length });
    });
    this.changeListener = options.membership.onChange(() => this.recordDisturbance());
    this.scheduleRemovals();
  }

  /**
   * Starts the retention of a turn that this process has just written, and extends the retention of
   * the turns that it continues accordingly.
   */
  public retain(
    turn: retainedTurns.RetainedTurn,
    chain: readonly turnRecords.EarlierTurn[],
    retentionMs: clock.Milliseconds,
  ): void {
    const now = this.options.clock.now();
    this.retained.add(turn, now + retentionMs + RETENTION_MARGIN_MS, now);
    this.extendChain(chain, retentionMs);
  }

  /**
   * Extends the retention of a chain when a turn that continues it starts. Turns of the chain might
   * expire before the new turn ends, because they are already old or because the new turn may run
   * for long. A third of the retention is left as a margin for wrong ages and for the requests to
   * other VMs.
   */
  public extendForRun(
    chain: readonly turnRecords.EarlierTurn[],
    retentionMs: clock.Milliseconds,
    maximumRunMs: clock.Milliseconds = 0,
  ): void {
    const thirdMs = retentionExtensions.EXTEND_AFTER_SHARE * retentionMs;
    const minimumAgeMs = Math.min(thirdMs, retentionMs - thirdMs - maximumRunMs);
    const atRisk = chain.filter((turn) => this.ageOf(turn) >= minimumAgeMs);
    this.extendChain(atRisk, retentionMs, Math.max(0, maximumRunMs - retentionMs));
  }

  /** @inheritdoc */
  public dispose(): void {
    this.isDisposed = true;
    this.removalTimer?.cancel();
    this.changeListener.dispose();
    this.extender.dispose();
    this.servedMethod.dispose();
  }

  /**
   * Retains turns until the retention has passed, counted from the end of the delay. For turns of
   * other VMs, requests this from those VMs.
   */
  private extendChain(
    turns: readonly turnRecords.EarlierTurn[],
    retentionMs: clock.Milliseconds,
    delayMs: clock.Milliseconds = 0,
  ): void {
    const remote: retentionExtensions.RemoteTurn[] = [];
    turns.forEach((turn) => {
      const { id, writer } = turn;
      if (writer === undefined || writer === this.options.network.self.address) {
        this.extendOwn(id, delayMs + retentionMs);
      } else {
        remote.push({ id, writer, ageMs: this.ageOf(turn) });
      }
    });
    this.extender.extend(remote, retentionMs, delayMs);
  }

  private extendOwn(id: string, spanMs: clock.Milliseconds): boolean {
    return this.retained.extend(id, this.options.clock.now() + spanMs + RETENTION_MARGIN_MS);
  }

  /**
   * The approximate age of a turn: at least 0, and very large if the time of writing is unknown.
   */
  private ageOf({ writtenAt }: turnRecords.EarlierTurn): clock.Milliseconds {
    return Math.max(0, this.options.clock.timeOfDay() - (writtenAt ?? 0));
  }

  private recordDisturbance(): void {
    this.disturbedAt = this.options.clock.now();
  }

  private scheduleRemovals(): void {
    const { clock: time } = this.options;
    const dueAt = time.now() + REMOVAL_INTERVAL_MS;
    this.removalTimer = time.startTimer(REMOVAL_INTERVAL_MS, () => {
      if (time.now() > dueAt + PAUSE_MS) this.recordDisturbance();
      this.removeExpired();
      this.scheduleRemovals();
    });
  }

  private removeExpired(): void {
    const now = this.options.clock.now();
    this.remove(this.retained.takeExpired(now, MAXIMUM_REMOVALS_PER_ROUND, this.disturbedAt));
    this.removeConfirmed(
      this.retained
        .listExpired(now)
        .filter((id) => !this.unconfirmed.has(id))
        .slice(0, MAXIMUM_TURNS_PER_CONFIRMATION),
    );
  }

  /** Removes the turns that no needed turn continues. The others are checked again in a later round. */
  private async removeConfirmed(ids: readonly string[]): Promise<void> {
    if (ids.length === 0) return;
    ids.forEach((id) => this.unconfirmed.add(id));
    const removable = await this.options.confirmRemoval(ids);
    ids.forEach((id) => this.unconfirmed.delete(id));
    if (this.isDisposed) return;
    const now = this.options.clock.now();
    this.remove(this.retained.takeIfExpired(removable, now));
    this.options.logger.info('The removal of expired turns was checked.', {
      count: ids.length,
      reason: `${removable.length} of them are not continued`,
    });
  }

  /** Removes turns. Those whose removal the log does not accept are removed in a later round. */
  private remove(turns: readonly retainedTurns.RetainedTurn[]): void {
    const { clock: time } = this.options;
    turns.forEach(async (turn) => {
      const isRemoved = await this.options.remove(turn);
      if (!isRemoved) this.retained.add(turn, time.now(), time.now());
    });
  }
}
