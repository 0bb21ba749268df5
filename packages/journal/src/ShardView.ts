import type * as clock from '@limpettack/clock';
import type * as platformClient from '@limpettack/platform-client';
import * as journalRecord from './JournalRecord.js';
import type { RecordId } from './JournalRecord.js';
import * as shardReader from './ShardReader.js';
import type { ReadOutcome } from './ShardReader.js';
import type { ShardFold } from './Types.js';

/** Minimum time between two records that are sampled for their age. */
const MINIMUM_SAMPLE_INTERVAL_MS = 250;

/** Number of age samples within one retention period. */
const SAMPLES_PER_RETENTION = 64;
const MAXIMUM_SAMPLES = 256;

/** The time at which the record at an offset was appended. */
interface AgeSample {
  readonly offset: number;
  /** The clock time of the append, derived from the age that the log reported. */
  readonly appendedAt: clock.Milliseconds;
}

/** The state of a shard after the records read so far. */
export class ShardView<State, Body> {
  public readonly reader: shardReader.ShardReader<Body>;

  public readonly state: State;

  private hasCaughtUp = false;

  private startedWithGap = false;

  private renewedBelow: number;

  private readonly appliedAhead = new Set<string>();

  private samples: AgeSample[] = [];

  public constructor(
    shard: number,
    private readonly fold: ShardFold<State, Body>,
    private readonly clockSource: clock.Clock,
    private readonly retentionMs: () => clock.Milliseconds | undefined,
    public readonly firstOffset: number,
  ) {
    this.reader = new shardReader.ShardReader(shard, fold.body, firstOffset);
    this.state = fold.createState();
    this.renewedBelow = firstOffset;
  }

  /** Whether the end of the stream has been reached at least once. */
  public get caughtUp(): boolean {
    return this.hasCaughtUp;
  }

  /**
   * Whether the state lacks records that had expired before they were read. Determined when the end
   * of the stream is first reached. A later checkpoint of this process does not reset it, because
   * such a checkpoint only covers the records that this process could read.
   */
  public get hasGap(): boolean {
    return this.startedWithGap;
  }

  /** Offset below which all records that are still needed have been appended again. */
  public get completeFrom(): number {
    return this.renewedBelow;
  }

  /** Whether the state contains replicated records that have not been read in the log. */
  public get isAhead(): boolean {
    return this.appliedAhead.size > 0;
  }

  /** Marks that the end of the stream has been reached. */
  public markCaughtUp(): void {
    if (!this.hasCaughtUp) this.startedWithGap = this.reader.hasGap;
    this.hasCaughtUp = true;
  }

  /**
   * Interprets one record of the log and applies it to the state if it is accepted and not applied
   * yet.
   */
  public applyRecord(logRecord: platformClient.LogRecord): ReadOutcome<Body> {
    const outcome = this.reader.feed(logRecord);
    if (outcome.kind === 'old') return outcome;
    this.sampleAge(logRecord);
    if (outcome.kind === 'checkpoint') {
      this.renewedBelow = Math.max(this.renewedBelow, outcome.completeFrom);
    }
    if (outcome.kind === 'claim') {
      this.fold.applyClaim(this.state, outcome.ownership, outcome.handedOver);
    }
    if (outcome.kind === 'body' && !this.appliedAhead.delete(journalRecord.keyOf(outcome.id))) {
      this.fold.apply(this.state, outcome.body, outcome.position);
    }
    return outcome;
  }

  /** Applies a record that the standby holds but that is not in the log yet. */
  public applyAhead(id: RecordId, body: Body): void {
    if (this.reader.hasAccepted(id)) return;
    this.appliedAhead.add(journalRecord.keyOf(id));
    this.fold.apply(this.state, body, { offset: -1, epoch: this.reader.epoch, ageMs: 0 });
  }

  /** Returns the lowest sampled offset whose record is younger than the given age. */
  public firstOffsetYoungerThan(ageMs: clock.Milliseconds): number {
    const oldest = this.clockSource.now() - ageMs;
    this.samples = this.samples.filter((sample) => sample.appendedAt > oldest);
    return this.samples[0]?.offset ?? this.reader.nextOffset;
  }

  private sampleAge(logRecord: platformClient.LogRecord): void {
    const appendedAt = this.clockSource.now() - logRecord.ageMs;
    const last = this.samples.at(-1);
    const intervalMs = Math.max(
      MINIMUM_SAMPLE_INTERVAL_MS,
      (this.retentionMs() ?? 0) / SAMPLES_PER_RETENTION,
    );
    if (last !== undefined && appendedAt - last.appendedAt < intervalMs) return;
    this.samples.push({ offset: logRecord.offset, appendedAt });
    // Without the oldest samples more records are treated as old and renewed early, which is safe.
    if (this.samples.length > MAXIMUM_SAMPLES) this.samples.shift();
  }
}
