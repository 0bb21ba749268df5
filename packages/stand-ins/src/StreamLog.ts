import type * as clock from '@limpettack/clock';
import type * as lifetime from '@limpettack/lifetime';

import * as logStream from './LogStream.js';
import type { StreamCounts } from './LogStream.js';

/** A page of a stream in the form of the log protocol. */
export interface StreamPage {
  readonly records: readonly {
    readonly offset: number;
    readonly ageMs: clock.Milliseconds;
    readonly payload: string;
  }[];
  readonly firstOffset: number;
  readonly tailOffset: number;
}

/** In-memory log of several streams. Offsets are never reused. */
export class StreamLog {
  private readonly streams = new Map<string, logStream.LogStream>();

  public constructor(
    private readonly time: clock.Clock,
    private readonly retentionMs: () => clock.Milliseconds,
  ) {}

  /** Appends the payloads at consecutive offsets and returns the offset of the first. */
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

  /** Reads from an offset. When `firstOffset` of the page is above `from`, records have expired. */
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

  /** Resolves at the next append to a stream, after the timeout, or when the event fires. */
  public async waitForAppend(
    name: string,
    timeoutMs: clock.Milliseconds,
    cancelEvent: lifetime.Event<void>,
  ): Promise<void> {
    const wait = new AbortController();
    const endWait = (): void => wait.abort();
    const subscriptions = [this.stream(name).onAppend.event(endWait), cancelEvent(endWait)];
    await this.time.sleep(timeoutMs, wait.signal);
    await Promise.all(subscriptions.map((subscription) => subscription.dispose()));
  }

  /** Number of appends, records and bytes by stream. */
  public counts(): Readonly<Record<string, StreamCounts>> {
    return Object.fromEntries([...this.streams].map(([name, stream]) => [name, stream.counts]));
  }

  private expire(stream: logStream.LogStream): void {
    const oldestRetainedAt = this.time.now() - this.retentionMs();
    const firstRetained = stream.records.findIndex(
      (record) => record.appendedAt >= oldestRetainedAt,
    );
    const expired = firstRetained < 0 ? stream.records.length : firstRetained;
    if (expired === 0) return;
    stream.discardOldest(expired);
  }

  private stream(name: string): logStream.LogStream {
    const existing = this.streams.get(name);
    if (existing !== undefined) return existing;
    const stream = new logStream.LogStream();
    this.streams.set(name, stream);
    return stream;
  }
}
