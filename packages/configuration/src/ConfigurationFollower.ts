import type * as clock from '@limpettack/clock';
import type * as errors from '@limpettack/errors';
import * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import * as platformClient from '@limpettack/platform-client';
import type * as wire from '@limpettack/wire';
import type * as trueMyth from 'true-myth';
import type {
  Caller,
  ConfigurationState,
  ConfigurationView,
  Route,
  StreamRecord,
} from './Types.js';
import * as configurationFold from './ConfigurationFold.js';
import * as configurationStore from './ConfigurationStore.js';
import * as parseRecord from './parseRecord.js';
import * as configurationExchange from './ConfigurationExchange.js';
import type * as peerMethods from './peerMethods.js';
import * as recentEdits from './RecentEdits.js';
import * as snapshotRenewal from './SnapshotRenewal.js';

/** The stream that holds the configuration. */
export const CONFIGURATION_STREAM = 'configuration';

const DEFAULT_POLL_WAIT_MS = 2_000;

const READ_LIMIT = 500;

/** Time beyond the log's own wait after which a read is aborted, in milliseconds. */
const READ_TIMEOUT_MARGIN_MS = 1_000;

/** Delay before a failed read is retried, in milliseconds, before jitter. */
const READ_RETRY_MS = 500;

/** Dependencies and settings of a follower. */
export interface ConfigurationFollowerOptions {
  readonly log: platformClient.LogClient;
  readonly network: wire.PeerNetwork;
  /** Returns the addresses of available members, without this one. */
  readonly peers: () => readonly string[];
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  /** Returns a number of at least 0 and below 1. */
  readonly random?: () => number;
  readonly stream?: string;
  /** How long the log may wait for a new record before it responds, in milliseconds. */
  readonly pollWaitMs?: clock.Milliseconds;
}

/**
 * Follows the configuration stream on this VM, announces new versions to peers, and fetches records
 * from them while the log cannot be reached. Records from both sources are applied in the order of
 * their offsets.
 */
export class ConfigurationFollower implements ConfigurationView, lifetime.Disposable {
  private readonly disposables = new lifetime.DisposableStore();

  private readonly closing = new AbortController();

  private readonly fold = new configurationFold.ConfigurationFold();

  private readonly recent = new recentEdits.RecentEdits();

  private readonly store = new configurationStore.ConfigurationStore();

  private readonly exchange: configurationExchange.ConfigurationExchange;

  private readonly renewal: snapshotRenewal.SnapshotRenewal;

  private readonly stream: string;

  private readonly pollWaitMs: clock.Milliseconds;

  private readonly random: () => number;

  private tasks: Promise<unknown> = Promise.resolve();

  /** Time of the last successful read of the log, or else of the start, on the monotonic clock. */
  private lastReadAt = 0;

  /** Whether a read of the log has failed since the last successful one. */
  private readFailed = false;

  /** Whether the last page reached the tail, so that the next read may wait for a record. */
  private hasReachedTail = false;

  private unreadableCount = 0;

  public readonly onChange = this.store.onChange;

  public readonly onKeyWithdrawn = this.store.onKeyWithdrawn;

  public constructor(private readonly options: ConfigurationFollowerOptions) {
    this.stream = options.stream ?? CONFIGURATION_STREAM;
    this.pollWaitMs = options.pollWaitMs ?? DEFAULT_POLL_WAIT_MS;
    this.random = options.random ?? Math.random;
    this.exchange = this.createExchange();
    this.renewal = this.createRenewal();
    this.disposables.add(this.store);
    this.disposables.add(this.exchange);
  }

  /** Starts to follow the stream. */
  public start(): void {
    const { signal } = this.closing;
    this.lastReadAt = this.options.clock.now();
    this.tasks = Promise.all([
      this.followLog(signal),
      this.exchange.run(signal),
      this.renewal.run(signal),
    ]);
  }

  /** @inheritdoc */
  public current(): ConfigurationState {
    return this.store.current();
  }

  /** @inheritdoc */
  public isReady(): boolean {
    return this.store.isReady();
  }

  /** @inheritdoc */
  public identify(key: string | undefined): trueMyth.Result<Caller, errors.Fault> {
    return this.store.identify(key);
  }

  /** @inheritdoc */
  public routeFor(caller: Caller, name: string): trueMyth.Result<Route, errors.Fault> {
    return this.store.routeFor(caller, name);
  }

  /** Whether no read of the log has failed or timed out since the last successful one. */
  public isLogReachable(): boolean {
    if (this.readFailed) return false;
    return this.options.clock.now() - this.lastReadAt <= this.pollWaitMs + READ_TIMEOUT_MARGIN_MS;
  }

  /** Returns the number of records of the stream that could not be parsed. */
  public unreadableRecords(): number {
    return this.unreadableCount;
  }

  /** @inheritdoc */
  public async dispose(): Promise<void> {
    this.closing.abort();
    await this.tasks;
    await this.disposables.dispose();
  }

  private async followLog(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const page = await this.readPage(signal);
      if (signal.aborted) return;
      if (page.isOk) {
        this.applyPage(page.value);
      } else if (!this.skipExpired(page.error)) {
        this.reportReadFailure(page.error);
        await this.options.clock.sleep(READ_RETRY_MS * (0.5 + this.random()), signal);
      }
    }
  }

  private async readPage(
    signal: AbortSignal,
  ): Promise<platformClient.PlatformResult<platformClient.LogPage>> {
    const readEnd = new AbortController();
    const readSignal = AbortSignal.any([signal, readEnd.signal]);
    const timeoutMs = this.pollWaitMs + READ_TIMEOUT_MARGIN_MS;
    // Without this timeout a stalled connection would block the read forever.
    this.options.clock
      .sleep(timeoutMs, readSignal)
      .then(() => readEnd.abort())
      .catch(() => undefined);
    const page = await this.options.log.read(this.stream, this.fold.nextOffset, {
      limit: READ_LIMIT,
      waitMs: this.hasReachedTail ? this.pollWaitMs : 0,
      signal: readSignal,
    });
    readEnd.abort();
    return page;
  }

  private applyPage(page: platformClient.LogPage): void {
    this.lastReadAt = this.options.clock.now();
    this.readFailed = false;
    page.records.forEach((record) => this.readRecord(record));
    this.hasReachedTail = this.fold.nextOffset >= page.tailOffset;
    if (this.hasReachedTail && !this.fold.hasGap) this.store.markReady();
    this.publishState();
  }

  private readRecord(logRecord: platformClient.LogRecord): void {
    const parsed = parseRecord.parseRecord(logRecord);
    if (parsed.isErr) {
      this.unreadableCount += 1;
      this.fold.advanceTo(logRecord.offset + 1);
      this.options.logger.warn('Skipped a record that cannot be parsed.', {
        offset: logRecord.offset,
      });
      return;
    }
    this.renewal.trackAge(parsed.value.record, logRecord.ageMs);
    this.applyRecord(parsed.value);
  }

  private applyRecord(entry: StreamRecord): void {
    const result = this.fold.apply(entry);
    this.recent.add(entry, result, this.fold.state.version);
    const { offset } = entry;
    this.options.logger.debug('Read a record.', { offset, kind: result.outcome });
  }

  /** Skips expired records. Returns false if the read failed for another reason. */
  private skipExpired(failure: platformClient.PlatformFailure): boolean {
    const { firstOffset } = failure;
    if (firstOffset === undefined || firstOffset <= this.fold.nextOffset) return false;
    this.options.logger.error('Records expired before they were read; waiting for a snapshot.', {
      offset: firstOffset,
    });
    this.fold.skipTo(firstOffset);
    return true;
  }

  private reportReadFailure(failure: platformClient.PlatformFailure): void {
    if (!this.readFailed) {
      this.options.logger.warn('The log cannot be read.', { reason: failure.message });
    }
    this.readFailed = true;
  }

  private applyPullResponse(response: peerMethods.PullResponse): void {
    response.records.forEach((entry) => this.applyRecord(entry));
    // Records below the peer's offset that are missing from its response have no effect.
    const isSameVersion = !this.fold.hasGap && this.fold.state.version === response.version;
    if (isSameVersion && response.records.length > 0) this.fold.advanceTo(response.offset);
    this.publishState();
  }

  private recordsFor(request: peerMethods.PullRequest): readonly StreamRecord[] {
    const { version } = this.fold.state;
    const edits = request.hasGap ? undefined : this.recent.after(request.version, version);
    if (edits) return edits;
    const record = this.fold.snapshot();
    return [{ offset: record.asOf - 1, record }];
  }

  private publishState(): void {
    if (!this.store.update(this.fold.state)) return;
    const { version } = this.fold.state;
    this.options.logger.info('A new configuration version took effect.', { version });
    this.exchange.announce();
  }

  private createExchange(): configurationExchange.ConfigurationExchange {
    return new configurationExchange.ConfigurationExchange({
      network: this.options.network,
      peers: this.options.peers,
      clock: this.options.clock,
      random: this.random,
      position: () => ({
        version: this.fold.state.version,
        offset: this.fold.nextOffset,
        hasGap: this.fold.hasGap,
      }),
      recordsFor: (request) => this.recordsFor(request),
      isReady: () => this.store.isReady(),
      isLogSufficient: () => this.isLogReachable() && !this.fold.hasGap,
      applyResponse: (response) => this.applyPullResponse(response),
      completePull: () => {
        if (!this.fold.hasGap) this.store.markReady();
      },
    });
  }

  private createRenewal(): snapshotRenewal.SnapshotRenewal {
    return new snapshotRenewal.SnapshotRenewal({
      log: this.options.log,
      stream: this.stream,
      clock: this.options.clock,
      logger: this.options.logger,
      random: this.random,
      canWrite: () => this.isLogReachable() && this.store.isReady() && !this.fold.hasGap,
      snapshot: () => this.fold.snapshot(),
    });
  }
}
