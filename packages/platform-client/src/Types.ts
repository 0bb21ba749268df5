import type * as clock from '@limpettack/clock';
import type * as trueMyth from 'true-myth';
import type * as platformFailures from './PlatformFailures.js';

/** The kind of failure of a call to the platform. */
export type PlatformFailureKind =
  (typeof platformFailures.PLATFORM_FAILURES)[keyof typeof platformFailures.PLATFORM_FAILURES];

/** Why a call to the platform has no result. */
export interface PlatformFailure {
  readonly kind: PlatformFailureKind;
  readonly message: string;
  /** The first offset that is still retained; set if the kind is `expired`. */
  readonly firstOffset?: number;
  /** Time until a retry is allowed, in milliseconds; set if the kind is `rate-limited`. */
  readonly retryAfterMs?: clock.Milliseconds;
}

export type PlatformResult<Value> = trueMyth.Result<Value, PlatformFailure>;

/** A record of the log. */
export interface LogRecord {
  readonly offset: number;
  /** Age of the record when it was read, by the clock of the log, in milliseconds. */
  readonly ageMs: clock.Milliseconds;
  /** The text that was appended. */
  readonly payload: string;
}

/** Consecutive records of one stream, as one read returns them. */
export interface LogPage {
  readonly records: readonly LogRecord[];
  /** The first offset that is still retained. */
  readonly firstOffset: number;
  /** The offset of the next record to be appended. */
  readonly tailOffset: number;
}

/** Options of one read. */
export interface ReadOptions {
  /** The maximum number of records to return. */
  readonly limit: number;
  /** How long the log may wait for a record at the tail, in milliseconds. */
  readonly waitMs: clock.Milliseconds;
  /** Aborts the read. */
  readonly signal?: AbortSignal;
}

/** A client of the platform's append-only log. A stream is created by its first record. */
export interface LogClient {
  /**
   * Appends the payloads consecutively, all or none; they use one append of the log's rate limit.
   * Returns the offset of the first. After a `lost` failure they may have been appended.
   */
  append(stream: string, payloads: readonly string[]): Promise<PlatformResult<number>>;

  /** Reads from an offset. Fails with `expired` if the record there is no longer retained. */
  read(stream: string, from: number, options: ReadOptions): Promise<PlatformResult<LogPage>>;

  /** Returns how long records are retained, in milliseconds. */
  retention(): Promise<PlatformResult<clock.Milliseconds>>;
}

/** A VM as the platform lists it. */
export interface ListedVm {
  readonly name: string;
  /** The address at which peers reach the VM, as `host:port`. */
  readonly address: string;
  readonly failureDomain: string;
  /** Whether the platform has announced that the VM will shut down. */
  readonly leaving: boolean;
  /** The incarnation of the process that wrote the entry, if VMs write their own entries. */
  readonly incarnation?: string | undefined;
}

/** A client of the platform's list of VMs. The list may be out of date. */
export interface VmListClient {
  list(): Promise<PlatformResult<readonly ListedVm[]>>;
}

/** Options of a client of the platform. */
export interface HttpClientOptions {
  /** The origin of the platform, such as `http://127.0.0.1:7000`. */
  readonly baseUrl: string;
  /** Timeout of a request in milliseconds; the wait of a read is added to it. */
  readonly requestTimeoutMs: clock.Milliseconds;
  /** Timeout for the opening of a connection, in milliseconds. */
  readonly connectTimeoutMs?: clock.Milliseconds;
}

/**
 * A gap in a stream: records that a follower could not read because they are no longer retained.
 */
export interface StreamGap {
  readonly stream: string;
  /** The first missing offset. */
  readonly from: number;
  /** The first offset that is still retained. */
  readonly to: number;
}

/** Receives the records of a followed stream. Each call completes before the next one starts. */
export interface StreamHandler {
  /** Handles the next record. A rejection ends the process, since no record may be skipped. */
  onRecord(record: LogRecord): void | Promise<void>;
  /** Called instead of `onRecord` for records that are no longer retained. */
  onGap(gap: StreamGap): void | Promise<void>;
}

/** Options of a follower. */
export interface StreamFollowerOptions {
  readonly stream: string;
  /** The first offset to read. */
  readonly from: number;
  /** How long a read may wait at the tail of the stream, in milliseconds. */
  readonly waitMs?: clock.Milliseconds;
  /** The maximum number of records of one read. */
  readonly limit?: number;
  /** Back-off after the first failure, in milliseconds; doubles with each consecutive failure. */
  readonly minimumBackoffMs?: clock.Milliseconds;
  /** The maximum back-off, in milliseconds. */
  readonly maximumBackoffMs?: clock.Milliseconds;
}
