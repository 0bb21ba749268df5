import type * as clock from '@limpettack/clock';
import type * as logging from '@limpettack/logging';
import type * as membership from '@limpettack/membership';
import type * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';
import * as chooseReaders from './chooseReaders.js';
import * as logFailures from './LogFailures.js';
import * as messages from './messages.js';
import type * as partitionMirror from './PartitionMirror.js';
import type {
  LogResult,
  PartitionChanges,
  PartitionName,
  PartitionSource,
  PartitionState,
} from './Types.js';

/**
 * Share of `staleMs` for which a peer may wait for changes. The rest leaves time to read elsewhere
 * if the peer stops responding.
 */
const PEER_WAIT_SHARE = 0.5;

/** Time limit for a peer's response, added to the peer's wait time. */
const PEER_RESPONSE_MARGIN_MS = 400;

/** How long a peer that did not respond is skipped. */
const PEER_PAUSE_MS = 3_000;

/**
 * How long a VM that is not a reader waits before it reads the log again, after both a reader and
 * the log have failed to serve it.
 */
const LOG_PAUSE_MS = 1_000;

/** Dependencies and settings of a shared source. */
export interface SharedSourceOptions {
  readonly log: PartitionSource;
  readonly mirror: partitionMirror.PartitionMirror;
  readonly network: wire.PeerNetwork;
  readonly membership: Pick<membership.Membership, 'available'>;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  /** Maximum time by which a VM may lag behind the log, in milliseconds. */
  readonly staleMs: clock.Milliseconds;
}

/**
 * Reads a partition through a reader: a peer of the same failure domain that reads the log. Reads
 * the log directly if this VM is a reader itself or if no reader responds.
 */
export class SharedSource implements PartitionSource {
  private readonly pausedUntil = new Map<string, clock.Milliseconds>();

  private logPausedUntil = 0;

  private reader: string | undefined;

  public constructor(private readonly options: SharedSourceOptions) {}

  /** @inheritdoc */
  public get partition(): PartitionName {
    return this.options.log.partition;
  }

  /** @inheritdoc */
  public async list(): Promise<LogResult<PartitionState>> {
    const { log, mirror } = this.options;
    const response = await this.requestReader(undefined);
    if (response !== undefined && response.failure === undefined) {
      const state = { records: response.records, endOffset: response.nextOffset };
      mirror.reset(state);
      return trueMyth.Result.ok(state);
    }
    const state = await this.readLog(() => log.list());
    if (state.isOk) mirror.reset(state.value);
    if (state.isOk) mirror.noteLogRead();
    return state;
  }

  /** @inheritdoc */
  public async readChanges(
    from: number,
    waitMs: clock.Milliseconds,
  ): Promise<LogResult<PartitionChanges>> {
    const { log, mirror } = this.options;
    const response = await this.requestReader(from);
    if (response !== undefined && response.failure === undefined) {
      mirror.apply(response);
      return trueMyth.Result.ok(response);
    }
    const changes = await this.readLog(() => log.readChanges(from, waitMs));
    if (changes.isOk) mirror.apply(changes.value);
    if (changes.isOk) mirror.noteLogRead();
    return changes;
  }

  private async readLog<Value>(read: () => Promise<LogResult<Value>>): Promise<LogResult<Value>> {
    const { clock: time } = this.options;
    if (time.now() < this.logPausedUntil) {
      const kind = logFailures.LOG_FAILURES.UNAVAILABLE;
      return trueMyth.Result.err({ kind, message: 'Neither a peer nor the log answers.' });
    }
    const result = await read();
    const isUnavailable = result.isErr && result.error.kind !== logFailures.LOG_FAILURES.EXPIRED;
    if (isUnavailable) this.options.mirror.noteLogUnavailable();
    // Readers do not pause, so that the other VMs learn of a recovered log without delay.
    this.logPausedUntil =
      isUnavailable && this.reader !== undefined ? time.now() + LOG_PAUSE_MS : 0;
    return result;
  }

  /**
   * Sends a request to the first reader that is not skipped. Returns undefined if there is no such
   * reader or if it does not respond.
   */
  private async requestReader(
    from: number | undefined,
  ): Promise<messages.FollowResponse | undefined> {
    const { clock: time, membership: members, network } = this.options;
    const { self } = network;
    const available = members.available();
    const readers = chooseReaders.chooseReaders({ available, self });
    const now = time.now();
    const reader = readers.find(({ name }) => (this.pausedUntil.get(name) ?? 0) <= now);
    this.noteReader(reader?.name);
    if (reader === undefined) return undefined;
    const peerWaitMs = PEER_WAIT_SHARE * this.options.staleMs;
    const request = {
      partition: this.partition,
      waitMs: from === undefined ? 0 : peerWaitMs,
      ...(from === undefined ? {} : { from }),
    };
    const timeoutMs = peerWaitMs + PEER_RESPONSE_MARGIN_MS;
    const response = await network.request(reader.address, messages.FOLLOW, request, { timeoutMs });
    if (response.isOk) return response.value;
    this.pausedUntil.set(reader.name, time.now() + PEER_PAUSE_MS);
    const { topic } = this.partition;
    const fields = { peer: reader.name, kind: topic, reason: response.error.message };
    this.options.logger.warn('The reader of a partition does not respond.', fields);
    return undefined;
  }

  private noteReader(name: string | undefined): void {
    if (name === this.reader) return;
    this.reader = name;
    const reason = name === undefined ? 'from the log itself' : 'through a peer';
    const fields = {
      kind: this.partition.topic,
      reason,
      ...(name === undefined ? {} : { peer: name }),
    };
    this.options.logger.info('The source of a partition has changed.', fields);
  }
}
