import type * as clock from '@limpettack/clock';
import type * as trueMyth from 'true-myth';
import type * as platformFailures from './PlatformFailures.js';

/** The name of a way in which a call of the platform fails. */
export type PlatformFailureKind =
  (typeof platformFailures.PLATFORM_FAILURES)[keyof typeof platformFailures.PLATFORM_FAILURES];

/** Why a call of the platform has no result. */
export interface PlatformFailure {
  readonly kind: PlatformFailureKind;
  readonly message: string;
  /** The first offset still kept; set when the kind is `expired`. */
  readonly firstOffset?: number;
  /** When to try again, in milliseconds; set when the kind is `rate-limited`. */
  readonly retryAfterMs?: clock.Milliseconds;
}

export type PlatformResult<Value> = trueMyth.Result<Value, PlatformFailure>;

/** A record as the log keeps it. */
export interface LogRecord {
  readonly offset: number;
  /** Age when it was read, by the log's own clock, in milliseconds. */
  readonly ageMs: clock.Milliseconds;
  /** The text that was appended. */
  readonly payload: string;
}

/** A run of records of one stream. */
export interface LogPage {
  readonly records: readonly LogRecord[];
  /** The first offset that is still kept. */
  readonly firstOffset: number;
  /** The offset that the next appended record will get. */
  readonly tailOffset: number;
}

/** Limits of one read. */
export interface ReadOptions {
  /** The largest number of records to return. */
  readonly limit: number;
  /** How long the log may wait for a record at the tail, in milliseconds. */
  readonly waitMs: clock.Milliseconds;
  readonly signal?: AbortSignal;
}

/** The platform's append-only log. Streams come into being with their first record. */
export interface LogClient {
  /**
   * Appends the payloads next to each other, all or none, as one append of the log's rate.
   * Returns the offset of the first. A `lost` failure says that they may have been appended.
   */
  append(stream: string, payloads: readonly string[]): Promise<PlatformResult<number>>;

  /** Reads from an offset. `expired` when records from there on are no longer kept. */
  read(stream: string, from: number, options: ReadOptions): Promise<PlatformResult<LogPage>>;

  /** How long records are kept, in milliseconds. */
  retention(): Promise<PlatformResult<clock.Milliseconds>>;
}

/** A VM as the platform lists it. */
export interface ListedVm {
  readonly name: string;
  /** Where peers reach it, as `host:port`. */
  readonly address: string;
  readonly failureDomain: string;
  /** True when the platform has announced that the VM will go. */
  readonly leaving: boolean;
  /** The process that has written the entry, where VMs write their own. */
  readonly incarnation?: string | undefined;
}

/** The platform's list of VMs. It lags. */
export interface VmListClient {
  list(): Promise<PlatformResult<readonly ListedVm[]>>;
}

/** Settings of a client of the platform. */
export interface HttpClientOptions {
  /** Origin of the platform, such as `http://127.0.0.1:7000`. */
  readonly baseUrl: string;
  /** How long a request may take; a read adds its own wait to it, in milliseconds. */
  readonly requestTimeoutMs: clock.Milliseconds;
  /** How long the opening of a connection may take, in milliseconds. */
  readonly connectTimeoutMs?: clock.Milliseconds;
}

/** Records that a follower could not read because they are no longer kept. */
export interface StreamGap {
  readonly stream: string;
  /** The first offset that is missing. */
  readonly from: number;
  /** The first offset that is still kept. */
  readonly to: number;
}

/** What a follower does with a stream. Each function finishes before the next is called. */
export interface StreamHandler {
  /** Takes the next record. A rejection ends the process, since no record may be skipped. */
  onRecord(record: LogRecord): void | Promise<void>;
  /** Called in the place of records that are lost. */
  onGap(gap: StreamGap): void | Promise<void>;
}

/** Settings of a follower. */
export interface StreamFollowerOptions {
  readonly stream: string;
  /** The first offset to read. */
  readonly from: number;
  /** How long one read may wait at the tail, in milliseconds. */
  readonly waitMs?: clock.Milliseconds;
  /** The largest number of records of one read. */
  readonly limit?: number;
  /** Time to wait after the first failure in a row, in milliseconds; doubled for each further. */
  readonly minimumBackoffMs?: clock.Milliseconds;
  readonly maximumBackoffMs?: clock.Milliseconds;
}
