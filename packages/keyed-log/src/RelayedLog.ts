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

/** How long calls avoid the direct connection after it failed, unless relays fail too. */
const DIRECT_PAUSE_MS = 1_000;

/**
 * How long calls fail immediately after neither the direct connection nor a relay reached the log.
 * Otherwise all retries of hundreds of VMs would hit the log in an outage, three times each: once
 * directly and twice through relays.
 */
const FAIL_FAST_MS = 200;

/** Minimum time between attempts through relays while no relay reaches the log. */
const RELAY_RETRY_INTERVAL_MS = 1_000;

/** Maximum number of relays tried for one call. */
const MAXIMUM_RELAYS_PER_CALL = 2;

/** Time limit for the response of a relay, added to the wait time of a read. */
const RELAY_TIMEOUT_MS = 800;

const LOG_UNREACHABLE: LogFailure = {
  kind: logFailures.LOG_FAILURES.UNAVAILABLE,
  message: 'Neither this process nor peers reach the log.',
};

/** Dependencies of a relayed log. */
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
 * Calls the log directly or, while that fails, through peers that still reach it. The platform may
 * reject the calls of some VMs and serve those of others.
 */
export class RelayedLog implements KeyedLog, lifetime.Disposable {
  private directPausedUntil = 0;

  private lastRelay: string | undefined;

  private isDirectFailing = false;

  private failFastUntil = 0;

  private relaysPausedUntil = 0;

  private readonly registration: lifetime.Disposable;

  public constructor(private readonly options: RelayedLogOptions) {
    this.registration = options.network.serve(messages.RELAYED_LOG_CALL, (request) =>
      this.serve(request),
    );
  }

  /** Whether the last direct call of the log failed. */
  public get isCutOff(): boolean {
    return this.isDirectFailing;
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
    this.registration.dispose();
  }

  private async call<Value>(
    request: messages.RelayedLogRequest,
    direct: () => Promise<LogResult<Value>>,
    waitMs: clock.Milliseconds,
  ): Promise<LogResult<Value>> {
    const { clock: time } = this.options;
    if (time.now() < this.failFastUntil) return trueMyth.Result.err(LOG_UNREACHABLE);
    let failure: LogFailure | undefined;
    if (time.now() >= this.directPausedUntil) {
      const result = await direct();
      if (result.isOk || !isTransient(result.error)) return this.noteDirectOutcome(true, result);
      failure = result.error;
      this.noteDirectOutcome(false, result);
    }
    const relays = time.now() < this.relaysPausedUntil ? [] : this.chooseRelays();
    for (const address of relays) {
      const relayed = await this.requestRelay<Value>(address, request, waitMs);
      if (relayed !== undefined) return relayed;
    }
    this.noteUnreachable(relays.length > 0);
    return trueMyth.Result.err(failure ?? LOG_UNREACHABLE);
  }

  /** Makes calls fail fast. The direct connection is tried next, since no relay reaches the log. */
  private noteUnreachable(wereRelaysTried: boolean): void {
    const now = this.options.clock.now();
    this.directPausedUntil = 0;
    this.lastRelay = undefined;
    this.failFastUntil = now + FAIL_FAST_MS;
    if (wereRelaysTried) this.relaysPausedUntil = now + RELAY_RETRY_INTERVAL_MS;
  }

  private noteDirectOutcome<Value>(succeeded: boolean, result: LogResult<Value>): LogResult<Value> {
    const { clock: time, logger } = this.options;
    if (succeeded && this.isDirectFailing)
      logger.info('The direct connection to the log works again.');
    if (!succeeded && !this.isDirectFailing) {
      const reason = result.isErr ? result.error.message : '';
      logger.warn('The direct connection to the log has failed.', { reason });
    }
    this.isDirectFailing = !succeeded;
    this.directPausedUntil = succeeded ? 0 : time.now() + DIRECT_PAUSE_MS;
    if (succeeded) this.failFastUntil = 0;
    if (succeeded) this.relaysPausedUntil = 0;
    return result;
  }

  /** Returns the last relay that worked, then other peers in random order. */
  private chooseRelays(): readonly string[] {
    const { membership: members, network, random } = this.options;
    const addresses = members
      .available()
      .map(({ address }) => address)
      .filter((address) => address !== network.self.address);
    const isLastAvailable = this.lastRelay !== undefined && addresses.includes(this.lastRelay);
    const first = isLastAvailable ? [this.lastRelay!] : [];
    const others = addresses
      .filter((address) => address !== first[0])
      .map((address) => ({ address, rank: random() }))
      .sort((left, right) => left.rank - right.rank)
      .map(({ address }) => address);
    return [...first, ...others].slice(0, MAXIMUM_RELAYS_PER_CALL);
  }

  /**
   * Makes a call through a peer. Returns undefined if the peer does not respond or cannot reach
   * the log itself.
   */
  private async requestRelay<Value>(
    address: string,
    request: messages.RelayedLogRequest,
    waitMs: clock.Milliseconds,
  ): Promise<LogResult<Value> | undefined> {
    const options = { timeoutMs: RELAY_TIMEOUT_MS + waitMs };
    const response = await this.options.network.request(
      address,
      messages.RELAYED_LOG_CALL,
      request,
      options,
    );
    if (response.isErr) return undefined;
    const { failure, value } = response.value;
    if (failure === undefined) {
      this.lastRelay = address;
      return trueMyth.Result.ok(value as Value);
    }
    if (isTransient(failure)) return undefined;
    this.lastRelay = address;
    return trueMyth.Result.err(failure);
  }

  private async serve(
    request: messages.RelayedLogRequest,
  ): Promise<trueMyth.Result<messages.RelayedLogResponse, never>> {
    const result = await this.callDirect(request);
    return trueMyth.Result.ok(result.isOk ? { value: result.value } : { failure: result.error });
  }

  private callDirect(request: messages.RelayedLogRequest): Promise<LogResult<unknown>> {
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
