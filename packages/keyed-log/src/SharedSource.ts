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

/** The part of the time within which a VM must know that a peer waits for news: it may fall silent. */
const PEER_WAIT_SHARE = 0.5;

/** Time for a peer's answer beyond its wait. */
const PEER_MARGIN_MS = 400;

/** A peer that did not answer is left aside for so long. */
const PEER_PAUSE_MS = 3_000;

/** While neither peers nor the log answer, the log is asked again so often by each VM. */
const LOG_PAUSE_MS = 1_000;

/** What the source needs. */
export interface SharedSourceOptions {
  readonly log: PartitionSource;
  readonly mirror: partitionMirror.PartitionMirror;
  readonly network: wire.PeerNetwork;
  readonly membership: Pick<membership.Membership, 'available'>;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  /** How far behind the log a VM may be, in milliseconds. */
  readonly staleMs: clock.Milliseconds;
}

/**
 * Reads a partition through a peer of the own failure domain that reads the log, and reads the log
 * itself when it is such a reader or when no reader answers.
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
    const answer = await this.askPeers(undefined);
    if (answer !== undefined && answer.failure === undefined) {
      const state = { records: answer.records, endOffset: answer.nextOffset };
      mirror.reset(state);
      return trueMyth.Result.ok(state);
    }
    const state = await this.askLog(() => log.list());
    if (state.isOk) mirror.reset(state.value);
    if (state.isOk) mirror.noteRead();
    return state;
  }

  /** @inheritdoc */
  public async readOn(
    from: number,
    waitMs: clock.Milliseconds,
  ): Promise<LogResult<PartitionChanges>> {
    const { log, mirror } = this.options;
    const answer = await this.askPeers(from);
    if (answer !== undefined && answer.failure === undefined) {
      mirror.take(answer);
      return trueMyth.Result.ok(answer);
    }
    const changes = await this.askLog(() => log.readOn(from, waitMs));
    if (changes.isOk) mirror.take(changes.value);
    if (changes.isOk) mirror.noteRead();
    return changes;
  }

  private async askLog<Value>(read: () => Promise<LogResult<Value>>): Promise<LogResult<Value>> {
    const { clock: time } = this.options;
    if (time.now() < this.logPausedUntil) {
      const kind = logFailures.LOG_FAILURES.UNAVAILABLE;
      return trueMyth.Result.err({ kind, message: 'Neither a peer nor the log answers.' });
    }
    const result = await read();
    const isAway = result.isErr && result.error.kind !== logFailures.LOG_FAILURES.EXPIRED;
    if (isAway) this.options.mirror.noteAway();
    // Readers go on asking, and tell the others as soon as the log answers.
    this.logPausedUntil = isAway && this.reader !== undefined ? time.now() + LOG_PAUSE_MS : 0;
    return result;
  }

  /** Asks the first reader that is not left aside; nothing when there is none or it fails. */
  private async askPeers(from: number | undefined): Promise<messages.FollowResponse | undefined> {
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
    const timeoutMs = peerWaitMs + PEER_MARGIN_MS;
    const answer = await network.request(reader.address, messages.FOLLOW, request, { timeoutMs });
    if (answer.isOk) return answer.value;
    this.pausedUntil.set(reader.name, time.now() + PEER_PAUSE_MS);
    const { topic } = this.partition;
    const fields = { peer: reader.name, kind: topic, reason: answer.error.message };
    this.options.logger.warn('The reader of a partition does not answer.', fields);
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
    this.options.logger.info('A partition is read another way.', fields);
  }
}
