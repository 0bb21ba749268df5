import type * as clock from '@limpettack/clock';
import type * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import type * as membership from '@limpettack/membership';
import * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';
import * as logFailures from './LogFailures.js';
import * as partitionPaths from './PartitionPaths.js';
import * as messages from './messages.js';
import * as pathRace from './PathRace.js';
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

/** Maximum number of relays tried for one call. */
const MAXIMUM_RELAYS_PER_CALL = 3;

/** Time limit for the response of a relay, added to the wait time of a read. */
const RELAY_TIMEOUT_MS = 800;

const LOG_UNREACHABLE: LogFailure = {
  kind: logFailures.LOG_FAILURES.UNAVAILABLE,
  message: 'Neither this process nor peers reach the log.',
};

/** Failures of a request to a peer that may have called the log. */
const MAYBE_RELAYED: ReadonlySet<wire.PeerFailureKind> = new Set([
  wire.PEER_FAILURES.LOST,
  wire.PEER_FAILURES.TIMED_OUT,
]);

/** A call in progress. */
interface RunningCall {
  readonly partition: PartitionName;
  readonly race: Pick<pathRace.PathRace<unknown>, 'sendDirect' | 'sendRelayed'>;
}

/** Restricts the peers through which some calls may be relayed. */
export interface RelayConfinement {
  /** Whether a call may be relayed only through the allowed peers. */
  readonly appliesTo: (request: Pick<messages.RelayedLogRequest, 'call' | 'partition'>) => boolean;
  readonly allows: (peer: Pick<wire.PeerIdentity, 'failureDomain'>) => boolean;
}

/** Dependencies of a relayed log. */
export interface RelayedLogOptions {
  readonly direct: KeyedLog;
  readonly network: wire.PeerNetwork;
  readonly membership: Pick<membership.Membership, 'available'>;
  /** Undefined if all calls may be relayed through all peers. */
  readonly confinement?: RelayConfinement | undefined;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
  /** Whether a partition may fail on its own. Default: a failed call counts against the whole log. */
  readonly isolatesPartitions?: boolean;
}

/**
 * Calls the log directly or, while that fails, through peers that still reach it. The platform may
 * reject the calls of some VMs and serve those of others.
 */
export class RelayedLog implements KeyedLog, lifetime.Disposable {
  private readonly paths: partitionPaths.PartitionPaths;

  /**
   * The paths of confined calls. Relays that fail for these calls do not keep the other calls from
   * relays that the confinement does not allow.
   */
  private readonly confinedPaths: partitionPaths.PartitionPaths;

  /** The calls in progress. */
  private readonly running = new Set<RunningCall>();

  /** The relay that last reached the log, for confined and for other calls. */
  private readonly lastRelays = new Map<boolean, string>();

  private readonly registration: lifetime.Disposable;

  public constructor(private readonly options: RelayedLogOptions) {
    const isolatesPartitions = options.isolatesPartitions ?? false;
    this.paths = new partitionPaths.PartitionPaths(isolatesPartitions);
    this.confinedPaths = new partitionPaths.PartitionPaths(isolatesPartitions);
    this.registration = options.network.serve(messages.RELAYED_LOG_CALL, (request) =>
      this.serve(request),
    );
  }

  /** Whether this process cannot call the log directly. */
  public get isCutOff(): boolean {
    return !this.paths.isDirect;
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
    direct: pathRace.Attempt<Value>,
    waitMs: clock.Milliseconds,
  ): Promise<LogResult<Value>> {
    const { partition } = request;
    const choice = this.pathsOf(request).choose(partition, this.options.clock.now());
    if (!choice.isDirect && !choice.isRelayed) return trueMyth.Result.err(LOG_UNREACHABLE);
    const running: RunningCall & { readonly race: pathRace.PathRace<Value> } = {
      partition,
      race: new pathRace.PathRace({
        direct: () => this.callDirect(direct, running, waitMs),
        relayed: () => this.callRelays(request, waitMs),
      }),
    };
    const { race } = running;
    this.running.add(running);
    if (choice.isRelayed) race.sendRelayed();
    if (choice.isDirect) race.sendDirect();
    const result = await race.result;
    this.running.delete(running);
    return result;
  }

  private async callDirect<Value>(
    direct: pathRace.Attempt<Value>,
    call: RunningCall,
    waitMs: clock.Milliseconds,
  ): Promise<LogResult<Value>> {
    const { clock: time } = this.options;
    const startedAt = time.now();
    const result = await direct();
    this.recordDirect(call.partition, startedAt, result, waitMs, call);
    return result;
  }

  /** Records the outcome of a direct call, and moves other running calls to the path that works. */
  private recordDirect(
    partition: PartitionName,
    startedAt: clock.Milliseconds,
    result: LogResult<unknown>,
    waitMs: clock.Milliseconds,
    cause?: RunningCall,
  ): void {
    const now = this.options.clock.now();
    if (result.isErr && pathRace.isTransient(result.error)) {
      const isStall = waitMs > 0 && now - startedAt >= waitMs;
      this.confinedPaths.noteDirectFailure(partition, startedAt, now, isStall);
      const affected = this.paths.noteDirectFailure(partition, startedAt, now, isStall);
      this.moveToRelays(partition, this.affectedCalls(partition, affected, cause), result.error);
    } else {
      this.confinedPaths.noteDirectSuccess(partition, now);
      const affected = this.paths.noteDirectSuccess(partition, now);
      this.moveToDirect(partition, this.affectedCalls(partition, affected, cause));
    }
  }

  /** The other running calls that an outcome of a call affects; undefined if it changes no path. */
  private affectedCalls(
    { partition, topic }: PartitionName,
    affected: partitionPaths.AffectedCalls,
    cause: RunningCall | undefined,
  ): readonly RunningCall[] | undefined {
    const { ALL, NONE } = partitionPaths.AFFECTED_CALLS;
    if (affected === NONE) return undefined;
    const isAffected = (call: RunningCall): boolean =>
      affected === ALL ||
      (call.partition.topic === topic && call.partition.partition === partition);
    return [...this.running].filter((call) => call !== cause && isAffected(call));
  }

  private moveToDirect(partition: PartitionName, calls: readonly RunningCall[] | undefined): void {
    if (calls === undefined) return;
    this.options.logger.info('The direct connection to the log works again.', {
      kind: nameOf(partition),
      count: calls.length,
    });
    calls.forEach(({ race }) => race.sendDirect());
  }

  private moveToRelays(
    partition: PartitionName,
    calls: readonly RunningCall[] | undefined,
    { message }: LogFailure,
  ): void {
    if (calls === undefined) return;
    this.options.logger.warn('The direct connection to the log has failed.', {
      kind: nameOf(partition),
      reason: message,
      count: calls.length,
    });
    calls.forEach(({ race }) => race.sendRelayed());
  }

  private pathsOf(request: messages.RelayedLogRequest): partitionPaths.PartitionPaths {
    return this.isConfined(request) ? this.confinedPaths : this.paths;
  }

  private isConfined(request: messages.RelayedLogRequest): boolean {
    return this.options.confinement?.appliesTo(request) ?? false;
  }

  private async callRelays<Value>(
    request: messages.RelayedLogRequest,
    waitMs: clock.Milliseconds,
  ): Promise<LogResult<Value>> {
    const { clock: time } = this.options;
    const startedAt = time.now();
    const paths = this.pathsOf(request);
    if (!paths.mayRelay(request.partition, startedAt)) return trueMyth.Result.err(LOG_UNREACHABLE);
    let lost: LogResult<Value> | undefined;
    for (const address of this.chooseRelays(request)) {
      const result = await this.requestRelay<Value>(address, request, waitMs);
      if (result.isOk || !pathRace.isTransient(result.error)) {
        this.lastRelays.set(this.isConfined(request), address);
        paths.noteRelaySuccess(request.partition, time.now());
        return result;
      }
      if (result.error.kind === logFailures.LOG_FAILURES.LOST) lost = result;
    }
    this.lastRelays.delete(this.isConfined(request));
    paths.noteRelayFailure(request.partition, startedAt, time.now());
    return lost ?? trueMyth.Result.err(LOG_UNREACHABLE);
  }

  /** Returns the last relay that worked, then other peers in random order. */
  private chooseRelays(request: messages.RelayedLogRequest): readonly string[] {
    const { confinement, membership: members, network, random } = this.options;
    const isConfined = this.isConfined(request);
    const addresses = members
      .available()
      .filter((member) => !isConfined || confinement!.allows(member))
      .map(({ address }) => address)
      .filter((address) => address !== network.self.address);
    const lastRelay = this.lastRelays.get(isConfined);
    const first = lastRelay !== undefined && addresses.includes(lastRelay) ? [lastRelay] : [];
    const others = addresses
      .filter((address) => address !== first[0])
      .map((address) => ({ address, rank: random() }))
      .sort((left, right) => left.rank - right.rank)
      .map(({ address }) => address);
    return [...first, ...others].slice(0, MAXIMUM_RELAYS_PER_CALL);
  }

  private async requestRelay<Value>(
    address: string,
    request: messages.RelayedLogRequest,
    waitMs: clock.Milliseconds,
  ): Promise<LogResult<Value>> {
    const options = { timeoutMs: RELAY_TIMEOUT_MS + waitMs };
    const response = await this.options.network.request(
      address,
      messages.RELAYED_LOG_CALL,
      request,
      options,
    );
    if (response.isErr) {
      const { kind, message } = response.error;
      const isLost = MAYBE_RELAYED.has(kind);
      const { LOST, UNAVAILABLE } = logFailures.LOG_FAILURES;
      return trueMyth.Result.err({ kind: isLost ? LOST : UNAVAILABLE, message });
    }
    const { failure, value } = response.value;
    return failure === undefined
      ? trueMyth.Result.ok(value as Value)
      : trueMyth.Result.err(failure);
  }

  private async serve(
    request: messages.RelayedLogRequest,
  ): Promise<trueMyth.Result<messages.RelayedLogResponse, never>> {
    // Responds at once, so that the peer can try another relay.
    const { clock: time, isolatesPartitions } = this.options;
    const startedAt = time.now();
    if (!this.paths.mayServe(request.partition, startedAt))
      return trueMyth.Result.ok({ failure: LOG_UNREACHABLE });
    const result = await this.callForPeer(request);
    if (isolatesPartitions === true) {
      const waitMs = request.call === 'read' ? request.waitMs : 0;
      this.recordDirect(request.partition, startedAt, result, waitMs);
    }
    return trueMyth.Result.ok(result.isOk ? { value: result.value } : { failure: result.error });
  }

  private callForPeer(request: messages.RelayedLogRequest): Promise<LogResult<unknown>> {
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

/** The partition that changed its path, or whose call showed that all others have. */
function nameOf({ partition, topic }: PartitionName): string {
  return `${topic}/${partition}`;
}
