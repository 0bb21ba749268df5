import * as clock from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';
import type * as platformClient from '@limpettack/platform-client';
import * as trueMyth from 'true-myth';

const { ok, err } = trueMyth.Result;

const systemClock = new clock.SystemClock();

/** An in-memory log with faults that the test sets. */
export class MemoryLog {
  public isDown = false;

  /** How many of the next appends take effect although their response is lost. */
  public loseAnswers = 0;

  /** How many of the next appends have no effect because their request is lost. */
  public loseRequests = 0;

  public appends = 0;

  public readonly streams = new Map<string, { payload: string; at: number }[]>();

  public readonly firstOffsets = new Map<string, number>();

  private readonly arrivals = new lifetime.Emitter<void>();

  public constructor(public retentionMs = 3_600_000) {}

  /** Creates a client of the log. While `isCut` returns true, only this client sees an outage. */
  public connect(
    isCut: () => boolean,
    waitUntilResumed: () => Promise<void>,
  ): platformClient.LogClient {
    const isUnavailable = () => this.isDown || isCut();
    return {
      append: async (stream, payloads) => {
        await waitUntilResumed();
        if (isUnavailable()) return err({ kind: 'unavailable', message: 'down' });
        const result = this.append(stream, payloads);
        await waitUntilResumed();
        return result;
      },
      read: async (stream, from, options) => {
        await waitUntilResumed();
        if (isUnavailable()) return err({ kind: 'unavailable', message: 'down' });
        if (options.waitMs > 0 && from >= this.tail(stream)) await this.wait(options);
        if (isUnavailable()) return err({ kind: 'unavailable', message: 'down' });
        const result = this.read(stream, from, options.limit);
        await waitUntilResumed();
        return result;
      },
      retention: async () => ok(this.retentionMs),
    };
  }

  /** Appends records regardless of the faults that are set. */
  public put(stream: string, payloads: readonly string[]): number {
    const records = this.streams.get(stream) ?? [];
    this.streams.set(stream, records);
    const offset = records.length;
    records.push(...payloads.map((payload) => ({ payload, at: systemClock.now() })));
    this.arrivals.fire();
    return offset;
  }

  /** Makes the records below an offset expire. */
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
