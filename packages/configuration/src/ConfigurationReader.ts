import * as platformClient from '@limpettack/platform-client';
import * as trueMyth from 'true-myth';
import type { ConfigurationState, HistoryEntry, StreamRecord } from './Types.js';
import * as configurationFold from './ConfigurationFold.js';
import * as parseRecord from './parseRecord.js';
import * as schemas from './schemas.js';

const READ_LIMIT = 500;

/** Reads the configuration stream on demand, for tools that do not follow it. */
export class ConfigurationReader {
  private readonly fold = new configurationFold.ConfigurationFold();

  private readonly entries: HistoryEntry[] = [];

  public constructor(
    private readonly log: platformClient.LogClient,
    private readonly stream: string,
  ) {}

  /** The configuration after the last read. */
  public get state(): ConfigurationState {
    return this.fold.state;
  }

  /** The offset of the next record to read. */
  public get nextOffset(): number {
    return this.fold.nextOffset;
  }

  /** Edits that were read, oldest first. */
  public get history(): readonly HistoryEntry[] {
    return this.entries;
  }

  /** Whether an edit with this id has taken effect. Only the latest ids are kept. */
  public hasApplied(editId: string): boolean {
    return this.fold.hasApplied(editId);
  }

  /** Reads to the tail of the stream. Fails when the log fails or has a gap without a snapshot. */
  public async readToTail(): Promise<platformClient.PlatformResult<ConfigurationState>> {
    let tailOffset = Number.POSITIVE_INFINITY;
    while (this.fold.nextOffset < tailOffset) {
      const page = await this.log.read(this.stream, this.fold.nextOffset, {
        limit: READ_LIMIT,
        waitMs: 0,
      });
      if (page.isOk) {
        page.value.records.forEach((record) => this.readRecord(record));
        tailOffset = page.value.tailOffset;
      } else if (!this.skipExpired(page.error)) {
        return trueMyth.Result.err(page.error);
      }
    }
    return this.fold.hasGap ? trueMyth.Result.err(gapFailure()) : trueMyth.Result.ok(this.state);
  }

  private skipExpired(failure: platformClient.PlatformFailure): boolean {
    if (failure.firstOffset === undefined || failure.firstOffset <= this.nextOffset) return false;
    this.fold.skipTo(failure.firstOffset);
    return true;
  }

  private readRecord(logRecord: platformClient.LogRecord): void {
    const parsed = parseRecord.parseRecord(logRecord);
    if (parsed.isErr) this.fold.advanceTo(logRecord.offset + 1);
    else this.applyRecord(parsed.value, logRecord.ageMs);
  }

  private applyRecord(entry: StreamRecord, ageMs: number): void {
    const { outcome, problems = [] } = this.fold.apply(entry);
    if (entry.record.kind !== schemas.RECORD_KINDS.EDIT) return;
    const { version } = this.fold.state;
    this.entries.push({
      offset: entry.offset,
      ageMs,
      edit: entry.record,
      outcome,
      problems,
      version,
    });
  }
}

function gapFailure(): platformClient.PlatformFailure {
  return {
    kind: platformClient.PLATFORM_FAILURES.EXPIRED,
    message: 'Records have expired and the log holds no snapshot that makes up for them.',
  };
}
