import type * as clock from '@limpettack/clock';
import type * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import type * as wire from '@limpettack/wire';
import * as foreignTurns from './ForeignTurns.js';
import * as messages from './messages.js';

/** Between two looks at what other VMs have to be told, while there is something. */
const LOOK_INTERVAL_MS = 1_000;

/** Time for a VM to take a message; less than the time to the next try. */
const TELL_TIMEOUT_MS = 800;

/** What the teller needs. */
export interface KeepOnTellerOptions {
  readonly network: wire.PeerNetwork;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
}

/** Tells other VMs which of the turns that they wrote are needed on, until they have taken it. */
export class KeepOnTeller implements lifetime.Disposable {
  private readonly foreign = new foreignTurns.ForeignTurns();

  private next: clock.Timer | undefined;

  private isStopped = false;

  public constructor(private readonly options: KeepOnTellerOptions) {}

  /** Has turns of other VMs kept for a retention, which begins after a delay. Returns at once. */
  public need(
    turns: readonly foreignTurns.ForeignTurn[],
    retentionMs: clock.Milliseconds,
    delayMs: clock.Milliseconds,
  ): void {
    // Look-ups go on after a stop, and nobody would cancel the timer that they start.
    if (this.isStopped) return;
    const now = this.options.clock.now();
    const due = turns.filter((turn) => this.foreign.need(turn, retentionMs, now, now + delayMs));
    if (due.length > 0) this.look();
    else if (this.next === undefined) this.scheduleLook();
  }

  /** @inheritdoc */
  public dispose(): void {
    this.isStopped = true;
    this.next?.cancel();
  }

  private look(): void {
    const now = this.options.clock.now();
    this.foreign.forgetOver(now).forEach((missed) => this.logMissed(missed));
    this.foreign.takeDue(now).forEach((due) => this.tell(due));
    this.next?.cancel();
    this.next = undefined;
    this.scheduleLook();
  }

  private scheduleLook(): void {
    if (this.foreign.isEmpty) return;
    this.next = this.options.clock.startTimer(LOOK_INTERVAL_MS, () => this.look());
  }

  private async tell(due: foreignTurns.DueTurns): Promise<void> {
    const { logger, network } = this.options;
    const { turns, writer } = due;
    const request = { turns: turns.map(({ id, spanMs }) => ({ turn: id, spanMs })) };
    const options = { timeoutMs: TELL_TIMEOUT_MS };
    const answer = await network.request(writer, messages.KEEP_ON, request, options);
    if (answer.isErr) {
      const reason = answer.error.message;
      logger.info('A VM could not be told yet to keep turns on.', {
        peer: writer,
        count: turns.length,
        reason,
      });
      return;
    }
    this.foreign.noteTaken(due);
    const { count } = answer.value;
    logger.info('A VM was told to keep turns on.', { peer: writer, count: turns.length });
    if (count < turns.length) {
      logger.warn('A VM no longer holds turns that are needed on.', {
        peer: writer,
        count: turns.length - count,
        reason: 'It has started again since, or has removed them.',
      });
    }
  }

  private logMissed({ turns, writer }: foreignTurns.DueTurns): void {
    this.options.logger.warn('A VM could not be told in time to keep turns on.', {
      peer: writer,
      count: turns.length,
      request: turns[0]?.id ?? '',
    });
  }
}
