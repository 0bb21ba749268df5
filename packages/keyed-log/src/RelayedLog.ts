import type * as clock from '@limpettack/clock';
import type * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import type * as membership from '@limpettack/membership';
import type * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';
import * as logFailures from './LogFailures.js';
import * as messages from './messages.js';
import type {
  AppendOptions,
  AppendReceipt,
  KeyedLog,
  KeyedRecord,
  LogFailure,
  LogResult,
  NewestPage,
  PartitionName,
  ReadOptions,
  ReadPage,
} from './Types.js';

/** After a failure the own way to the log is left aside for so long, unless peers fail too. */
const OWN_WAY_PAUSE_MS = 1_000;

/**
 * When neither the own way nor peers have reached the log, calls fail at once for so long. Without
 * this, all that hundreds of VMs try again in an outage would come to the log, threefold.
 */
const NO_WAY_PAUSE_MS = 200;

/** In such an outage peers are asked again so often. */
const RELAY_PAUSE_MS = 1_000;

/** Peers asked for one call at most. */
const RELAYS_PER_CALL = 2;

/** Time for the answer of a peer beyond the wait of the read itself. */
const RELAY_TIMEOUT_MS = 800;

const NO_WAY: LogFailure = {
  kind: logFailures.LOG_FAILURES.UNAVAILABLE,
  message: 'Neither this process nor peers reach the log.',
};

/** What the relayed log needs. */
export interface RelayedLogOptions {
  readonly direct: KeyedLog;
  readonly network: wire.PeerNetwork;
  readonly membership: Pick<membership.Membership, 'available'>;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
}

/**
 * The log by the own way and, while that fails, through peers that still reach it. The platform may
 * turn some VMs away and serve the others.
 */
export class RelayedLog implements KeyedLog, lifetime.Disposable {
  private ownWayPausedUntil = 0;

  private lastRelay: string | undefined;

  private isDetached = false;

  private noWayUntil = 0;

  private relaysPausedUntil = 0;

  private readonly served: lifetime.Disposable;

  public constructor(private readonly options: RelayedLogOptions) {
    this.served = options.network.serve(messages.LOG_CALL, (request) => this.serve(request));
  }

  /** Whether the last call found no own way to the log. */
  public get isCutOff(): boolean {
    return this.isDetached;
  }

  /** @inheritdoc */
  public append(
    partition: PartitionName,
    records: readonly KeyedRecord[],
    options: AppendOptions,
  ): Promise<LogResult<AppendReceipt>> {
    return this.call<AppendReceipt>(
      { call: 'append', partition, records, options },
      () => this.options.direct.append(partition, records, options),
      0,
    );
  }

  /** @inheritdoc */
  public newest(partition: PartitionName, after?: string): Promise<LogResult<NewestPage>> {
    return this.call<NewestPage>(
      { call: 'newest', partition, ...(after === undefined ? {} : { after }) },
      () => this.options.direct.newest(partition, after),
      0,
    );
  }

  /** @inheritdoc */
  public read(
    partition: PartitionName,
    from: number,
    options: ReadOptions,
  ): Promise<LogResult<ReadPage>> {
    return this.call<ReadPage>(
      { call: 'read', partition, from, ...options },
      () => this.options.direct.read(partition, from, options),
      options.waitMs,
    );
  }

  /** @inheritdoc */
  public dispose(): void {
    this.served.dispose();
  }

  private async call<Value>(
    request: messages.LogCallRequest,
    direct: () => Promise<LogResult<Value>>,
    waitMs: clock.Milliseconds,
  ): Promise<LogResult<Value>> {
    const { clock: time } = this.options;
    if (time.now() < this.noWayUntil) return trueMyth.Result.err(NO_WAY);
    let failure: LogFailure | undefined;
    if (time.now() >= this.ownWayPausedUntil) {
      const result = await direct();
      if (result.isOk || !isTransient(result.error)) return this.noteOwnWay(true, result);
      failure = result.error;
      this.noteOwnWay(false, result);
    }
    const relays = time.now() < this.relaysPausedUntil ? [] : this.chooseRelays();
    for (const address of relays) {
      const relayed = await this.askRelay<Value>(address, request, waitMs);
      if (relayed !== undefined) return relayed;
    }
    this.noteNoWay(relays.length > 0);
    return trueMyth.Result.err(failure ?? NO_WAY);
  }

  /** Nobody else reaches the log either, so the own way is as good as any. */
  private noteNoWay(wereRelaysAsked: boolean): void {
    const now = this.options.clock.now();
    this.ownWayPausedUntil = 0;
    this.lastRelay = undefined;
    this.noWayUntil = now + NO_WAY_PAUSE_MS;
    if (wereRelaysAsked) this.relaysPausedUntil = now + RELAY_PAUSE_MS;
  }

  private noteOwnWay<Value>(works: boolean, result: LogResult<Value>): LogResult<Value> {
    const { clock: time, logger } = this.options;
    if (works && this.isDetached) logger.info('The own way to the log works again.');
    if (!works && !this.isDetached) {
      const reason = result.isErr ? result.error.message : '';
      logger.warn('The own way to the log has failed.', { reason });
    }
    this.isDetached = !works;
    this.ownWayPausedUntil = works ? 0 : time.now() + OWN_WAY_PAUSE_MS;
    if (works) this.noWayUntil = 0;
    if (works) this.relaysPausedUntil = 0;
    return result;
  }

  /** The relay that served last, then others at random. */
  private chooseRelays(): readonly string[] {
    const { membership: members, network, random } = this.options;
    const addresses = members
      .available()
      .map(({ address }) => address)
      .filter((address) => address !== network.self.address);
    const known = this.lastRelay !== undefined && addresses.includes(this.lastRelay);
    const first = known ? [this.lastRelay!] : [];
    const others = addresses
      .filter((address) => address !== first[0])
      .map((address) => ({ address, rank: random() }))
      .sort((left, right) => left.rank - right.rank)
      .map(({ address }) => address);
    return [...first, ...others].slice(0, RELAYS_PER_CALL);
  }

  /** Asks a peer; nothing when the peer does not answer or does not reach the log itself. */
  private async askRelay<Value>(
    address: string,
    request: messages.LogCallRequest,
    waitMs: clock.Milliseconds,
  ): Promise<LogResult<Value> | undefined> {
    const options = { timeoutMs: RELAY_TIMEOUT_MS + waitMs };
    const answer = await this.options.network.request(address, messages.LOG_CALL, request, options);
    if (answer.isErr) return undefined;
    const { failure, value } = answer.value;
    if (failure === undefined) {
      this.lastRelay = address;
      return trueMyth.Result.ok(value as Value);
    }
    if (isTransient(failure)) return undefined;
    this.lastRelay = address;
    return trueMyth.Result.err(failure);
  }

  private async serve(
    request: messages.LogCallRequest,
  ): Promise<trueMyth.Result<messages.LogCallResponse, never>> {
    const result = await this.runFor(request);
    return trueMyth.Result.ok(result.isOk ? { value: result.value } : { failure: result.error });
  }

  private runFor(request: messages.LogCallRequest): Promise<LogResult<unknown>> {
    const { direct } = this.options;
    switch (request.call) {
      case 'append':
        return direct.append(request.partition, request.records, request.options);
      case 'newest':
        return direct.newest(request.partition, request.after);
      default:
        return direct.read(request.partition, request.from, request);
    }
  }
}

function isTransient(failure: LogFailure): boolean {
  const { LOST, UNAVAILABLE } = logFailures.LOG_FAILURES;
  return failure.kind === LOST || failure.kind === UNAVAILABLE;
}
