import * as clock from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';
import type * as platformClient from '@limpettack/platform-client';
import * as trueMyth from 'true-myth';

const { ok, err } = trueMyth.Result;

const systemClock = new clock.SystemClock();

/** A log in memory whose faults the test sets. */
export class MemoryLog {
  public isDown = false;

  /** Number of coming appends that take effect and whose answer is lost. */
  public loseAnswers = 0;

  /** Number of coming appends that have no effect and whose answer is lost. */
  public loseRequests = 0;

  public appends = 0;

  public readonly streams = new Map<string, { payload: string; at: number }[]>();

  public readonly firstOffsets = new Map<string, number>();

  private readonly arrivals = new lifetime.Emitter<void>();

  public constructor(public retentionMs = 3_600_000) {}

  /** A client of the log. A client that is cut off sees an outage that others do not. */
  public connect(isCut: () => boolean, pass: () => Promise<void>): platformClient.LogClient {
    const isAway = () => this.isDown || isCut();
    return {
      append: async (stream, payloads) => {
        await pass();
        if (isAway()) return err({ kind: 'unavailable', message: 'down' });
        const result = this.append(stream, payloads);
        await pass();
        return result;
      },
      read: async (stream, from, options) => {
        await pass();
        if (isAway()) return err({ kind: 'unavailable', message: 'down' });
        if (options.waitMs > 0 && from >= this.tail(stream)) await this.wait(options);
        if (isAway()) return err({ kind: 'unavailable', message: 'down' });
        const result = this.read(stream, from, options.limit);
        await pass();
        return result;
      },
      retention: async () => ok(this.retentionMs),
    };
  }

  /** Appends without faults. */
  public put(stream: string, payloads: readonly string[]): number {
    const records = this.streams.get(stream) ?? [];
    this.streams.set(stream, records);
    const offset = records.length;
    records.push(...payloads.map((payload) => ({ payload, at: systemClock.now() })));
    this.arrivals.fire();
    return offset;
  }

  /** Drops the records below an offset. */
  public expire(stream: string, below: number): void {
    this.firstOffsets.set(stream, below);
  }

  private append(
    stream: string,
    payloads: readonly string[],
  ): platformClient.PlatformResult<number> {
    this.appends += 1;
    if (this.loseRequests > 0) {
      this.loseRequests -= 1;
      return err({ kind: 'lost', message: 'lost' });
    }
    const offset = this.put(stream, payloads);
    if (this.loseAnswers === 0) return ok(offset);
    this.loseAnswers -= 1;
    return err({ kind: 'lost', message: 'lost' });
  }

  private read(
    stream: string,
    from: number,
    limit: number,
  ): platformClient.PlatformResult<platformClient.LogPage> {
    const firstOffset = this.firstOffsets.get(stream) ?? 0;
    if (from < firstOffset) return err({ kind: 'expired', message: 'expired', firstOffset });
    const now = systemClock.now();
    const records = (this.streams.get(stream) ?? [])
      .slice(from, from + limit)
      .map(({ payload, at }, index) => ({ offset: from + index, ageMs: now - at, payload }));
    return ok({ records, firstOffset, tailOffset: this.tail(stream) });
  }

  private tail(stream: string): number {
    return this.streams.get(stream)?.length ?? 0;
  }

  private async wait({ waitMs, signal }: platformClient.ReadOptions): Promise<void> {
    const done = new AbortController();
    const subscription = this.arrivals.event(() => done.abort());
    const cancel = () => done.abort();
    signal?.addEventListener('abort', cancel, { once: true });
    await systemClock.sleep(Math.min(waitMs, 50), done.signal);
    signal?.removeEventListener('abort', cancel);
    subscription.dispose();
  }
}
