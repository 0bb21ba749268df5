import type * as clock from '@limpettack/clock';
import type * as platformClient from '@limpettack/platform-client';
import * as journalRecord from './JournalRecord.js';
import type { RecordId } from './JournalRecord.js';
import * as shardReader from './ShardReader.js';
import type { ReadOutcome } from './ShardReader.js';
import type { ShardFold } from './Types.js';

/** Smallest time between two offsets whose age is remembered. */
const AGE_SAMPLE_MS = 250;

/** Offsets whose age is remembered within one retention. */
const SAMPLES_IN_RETENTION = 64;
const SAMPLES_LIMIT = 256;

interface AgeSample {
  readonly offset: number;
  /** The clock reading at which the record was appended, by the age that the log told. */
  readonly appendedAt: clock.Milliseconds;
}

/** The state of a shard as of the records read so far. */
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

  /** Whether the end of the stream has been reached once. */
  public get caughtUp(): boolean {
    return this.hasCaughtUp;
  }

  /**
   * Whether the state lacks records that had expired before they were read. A later checkpoint of
   * this process speaks for what it could read, so it does not clear this.
   */
  public get hasGap(): boolean {
    return this.startedWithGap;
  }

  /** Offset below which all that matters has been appended again. */
  public get completeFrom(): number {
    return this.renewedBelow;
  }

  /** Whether the state holds replicated records that the log is not known to hold. */
  public get isAhead(): boolean {
    return this.appliedAhead.size > 0;
  }

  /** Says that the end of the stream has been reached. */
  public markCaughtUp(): void {
    if (!this.hasCaughtUp) this.startedWithGap = this.reader.hasGap;
    this.hasCaughtUp = true;
  }

  /** Reads one record and changes the state by it. */
  public feed(log: platformClient.LogRecord): ReadOutcome<Body> {
    const outcome = this.reader.feed(log);
    if (outcome.kind === 'old') return outcome;
    this.remember(log);
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

  /** Applies a record that the standby holds and the log does not yet. */
  public applyAhead(id: RecordId, body: Body): void {
    if (this.reader.hasCounted(id)) return;
    this.appliedAhead.add(journalRecord.keyOf(id));
    this.fold.apply(this.state, body, { offset: -1, epoch: this.reader.epoch, ageMs: 0 });
  }

  /** The lowest offset whose record is younger than the given age. */
  public firstOffsetYoungerThan(ageMs: clock.Milliseconds): number {
    const oldest = this.clockSource.now() - ageMs;
    this.samples = this.samples.filter((sample) => sample.appendedAt > oldest);
    return this.samples[0]?.offset ?? this.reader.nextOffset;
  }

  private remember(log: platformClient.LogRecord): void {
    const appendedAt = this.clockSource.now() - log.ageMs;
    const last = this.samples.at(-1);
    const span = Math.max(AGE_SAMPLE_MS, (this.retentionMs() ?? 0) / SAMPLES_IN_RETENTION);
    if (last !== undefined && appendedAt - last.appendedAt < span) return;
    this.samples.push({ offset: log.offset, appendedAt });
    // Without its oldest samples the view takes more records to be old, which is on the safe side.
    if (this.samples.length > SAMPLES_LIMIT) this.samples.shift();
  }
}
