import type * as clock from '@limpettack/clock';
import * as errors from '@limpettack/errors';
import type * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import type * as membership from '@limpettack/membership';
import type * as wire from '@limpettack/wire';
import * as retentionExtensions from './RetentionExtensions.js';
import * as messages from './messages.js';

/** Time between two checks for due extensions, while there are any. */
const CHECK_INTERVAL_MS = 1_000;

/** Time limit of a message to a VM; less than the time until the next check. */
const REQUEST_TIMEOUT_MS = 800;

/** Time limit of a message that another VM passes on. */
const RELAY_TIMEOUT_MS = 2 * REQUEST_TIMEOUT_MS;

/** Dependencies of the extender. */
export interface RetentionExtenderOptions {
  readonly network: wire.PeerNetwork;
  readonly membership: Pick<membership.Membership, 'available'>;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
}

/** The turns whose retention a VM is asked to extend. */
type RequestedTurns = messages.ExtendRetentionRequest['turns'];

type ExtensionResponse = wire.PeerResult<messages.ExtendRetentionResponse>;

/** Asks other VMs to extend the retention of turns that they wrote, until they acknowledge it. */
export class RetentionExtender implements lifetime.Disposable {
  private readonly extensions = new retentionExtensions.RetentionExtensions();

  private checkTimer: clock.Timer | undefined;

  private isStopped = false;

  private relayCount = 0;

  private readonly servedMethod: lifetime.Disposable;

  public constructor(private readonly options: RetentionExtenderOptions) {
    this.servedMethod = options.network.serve(messages.RELAY_EXTENSION, async ({ turns, writer }) =>
      (await this.request(writer, turns)).mapErr(({ message }) =>
        errors.createFault('home-unavailable', message),
      ),
    );
  }

  /**
   * Requests that other VMs retain their turns until the retention has passed, counted from the end
   * of the delay. Returns without waiting for those VMs.
   */
  public extend(
    turns: readonly retentionExtensions.RemoteTurn[],
    retentionMs: clock.Milliseconds,
    delayMs: clock.Milliseconds,
  ): void {
    // A lookup may end after the disposal; a timer that it started would never be cancelled.
    if (this.isStopped) return;
    const now = this.options.clock.now();
    const due = turns.filter((turn) =>
      this.extensions.addRequirement(turn, retentionMs, now, now + delayMs),
    );
    if (due.length > 0) this.sendDue();
    else if (this.checkTimer === undefined) this.scheduleCheck();
  }

  /** @inheritdoc */
  public dispose(): void {
    this.isStopped = true;
    this.checkTimer?.cancel();
    this.servedMethod.dispose();
  }

  private sendDue(): void {
    const now = this.options.clock.now();
    this.extensions.removeFinished(now).forEach((request) => this.logUnreachable(request));
    this.extensions.takeDue(now).forEach((due) => this.send(due));
    this.checkTimer?.cancel();
    this.checkTimer = undefined;
    this.scheduleCheck();
  }

  private scheduleCheck(): void {
    if (this.extensions.isEmpty) return;
    this.checkTimer = this.options.clock.startTimer(CHECK_INTERVAL_MS, () => this.sendDue());
  }

  private async send(due: retentionExtensions.ExtensionRequest): Promise<void> {
    const { logger } = this.options;
    const { turns, writer } = due;
    const extensions = turns.map(({ id, spanMs }) => ({ turn: id, spanMs }));
    const direct = await this.request(writer, extensions);
    const response = direct.isErr ? await this.relay(writer, extensions, direct) : direct;
    if (response.isErr) {
      const reason = response.error.message;
      logger.info('A request to extend the retention of turns failed and will be repeated.', {
        peer: writer,
        count: turns.length,
        reason,
      });
      return;
    }
    this.extensions.acknowledge(due);
    const { count } = response.value;
    logger.info('A VM received a request to extend the retention of turns.', {
      peer: writer,
      count: turns.length,
    });
    if (count < turns.length) {
      logger.warn('A VM no longer holds turns whose retention should be extended.', {
        peer: writer,
        count: turns.length - count,
        reason: 'It has started again since, or has removed them.',
      });
    }
  }

  private request(writer: string, turns: RequestedTurns): Promise<ExtensionResponse> {
    const options = { timeoutMs: REQUEST_TIMEOUT_MS };
    return this.options.network.request(writer, messages.EXTEND_RETENTION, { turns }, options);
  }

  /**
   * Sends a request through another VM, a different one each time, since the link to the writer may
   * have failed while both VMs run. Returns the direct response if there is no use in it.
   */
  private async relay(
    writer: string,
    turns: RequestedTurns,
    direct: ExtensionResponse,
  ): Promise<ExtensionResponse> {
    const { membership: members, network } = this.options;
    const available = members.available();
    const relays = available.filter(
      ({ address }) => address !== writer && address !== network.self.address,
    );
    const isWriterAvailable = available.some(({ address }) => address === writer);
    const relay = relays[this.relayCount % Math.max(1, relays.length)];
    if (this.isStopped || !isWriterAvailable || relay === undefined) return direct;
    this.relayCount += 1;
    const options = { timeoutMs: RELAY_TIMEOUT_MS };
    const message = { turns, writer };
    return network.request(relay.address, messages.RELAY_EXTENSION, message, options);
  }

  private logUnreachable({ turns, writer }: retentionExtensions.ExtensionRequest): void {
    this.options.logger.warn(
      'A VM could not be reached in time to extend the retention of turns.',
      {
        peer: writer,
        count: turns.length,
        request: turns[0]?.id ?? '',
      },
    );
  }
}
