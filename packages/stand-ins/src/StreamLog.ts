import type * as clock from '@limpettack/clock';
import type * as lifetime from '@limpettack/lifetime';

import * as logStream from './LogStream.js';
import type { StreamCounts } from './LogStream.js';

/** A page of a stream, as the protocol has it. */
export interface StreamPage {
  readonly records: readonly {
    readonly offset: number;
    readonly ageMs: clock.Milliseconds;
    readonly payload: string;
  }[];
  readonly firstOffset: number;
  readonly tailOffset: number;
}

/** The streams of the log, in memory. Offsets are never used again. */
export class StreamLog {
  private readonly streams = new Map<string, logStream.LogStream>();

  public constructor(
    private readonly time: clock.Clock,
    private readonly retentionMs: () => clock.Milliseconds,
  ) {}

  /** Appends the payloads next to each other and returns the offset of the first. */
  public append(name: string, payloads: readonly string[]): number {
    const stream = this.stream(name);
    const offset = stream.tailOffset;
    const appendedAt = this.time.now();
    payloads.forEach((payload) => stream.records.push({ appendedAt, payload }));
    stream.counts.appends += 1;
    stream.counts.records += payloads.length;
    stream.counts.bytes += payloads.reduce((sum, payload) => sum + Buffer.byteLength(payload), 0);
    stream.onAppend.fire();
    return offset;
  }

  /** Reads from an offset; a page that starts later than asked for says that records expired. */
  public read(name: string, from: number, limit: number): StreamPage {
    const stream = this.stream(name);
    this.expire(stream);
    const start = Math.max(0, from - stream.firstOffset);
    const now = this.time.now();
    const records = stream.records.slice(start, start + limit).map((record, index) => ({
      offset: stream.firstOffset + start + index,
      ageMs: now - record.appendedAt,
      payload: record.payload,
    }));
    return { records, firstOffset: stream.firstOffset, tailOffset: stream.tailOffset };
  }

  /** Resolves with the next append to a stream, after the span, or when the event fires. */
  public async waitForAppend(
    name: string,
    span: clock.Milliseconds,
    end: lifetime.Event<void>,
  ): Promise<void> {
    const wait = new AbortController();
    const wake = (): void => wait.abort();
    const subscriptions = [this.stream(name).onAppend.event(wake), end(wake)];
    await this.time.sleep(span, wait.signal);
    await Promise.all(subscriptions.map((subscription) => subscription.dispose()));
  }

  /** Counts of each stream. */
  public counts(): Readonly<Record<string, StreamCounts>> {
    return Object.fromEntries([...this.streams].map(([name, stream]) => [name, stream.counts]));
  }

  private expire(stream: logStream.LogStream): void {
    const oldest = this.time.now() - this.retentionMs();
    const kept = stream.records.findIndex((record) => record.appendedAt >= oldest);
    const expired = kept < 0 ? stream.records.length : kept;
    if (expired === 0) return;
    stream.dropFirst(expired);
  }

  private stream(name: string): logStream.LogStream {
    const known = this.streams.get(name);
    if (known !== undefined) return known;
    const stream = new logStream.LogStream();
    this.streams.set(name, stream);
    return stream;
  }
}
