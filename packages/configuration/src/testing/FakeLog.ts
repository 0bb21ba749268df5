import * as platformClient from '@limpettack/platform-client';
import * as trueMyth from 'true-myth';

const { PLATFORM_FAILURES } = platformClient;

/** An in-memory log with one stream, shared by the clients that it creates. */
export class FakeLog {
  public readonly payloads: string[] = [];

  public firstOffset = 0;

  public retentionMs = 1_000_000;

  /** Age that reads report for each record, in milliseconds. */
  public ageMs = 0;

  /** Number of next appends that take effect but whose response is lost. */
  public responsesToLose = 0;

  /** Returns whether reads of a client stall, as over an unresponsive connection. */
  public isUnresponsive: (client: string) => boolean = () => false;

  private waiters: (() => void)[] = [];

  /** Appends a record at the tail, encoded as JSON. Returns its offset. */
  public push(record: unknown): number {
    this.payloads.push(JSON.stringify(record));
    this.waiters.splice(0).forEach((wake) => wake());
    return this.payloads.length - 1;
  }

  /** Creates a client whose calls fail while `isCutOff` returns true. */
  public createClient(isCutOff: () => boolean = () => false, name = ''): platformClient.LogClient {
    const failure = { kind: PLATFORM_FAILURES.UNAVAILABLE, message: 'cut off' };
    return {
      append: async (_stream, payloads) => {
        if (isCutOff()) return trueMyth.Result.err(failure);
        const offset = this.payloads.length;
        payloads.forEach((payload) => this.push(JSON.parse(payload)));
        if (this.responsesToLose === 0) return trueMyth.Result.ok(offset);
        this.responsesToLose -= 1;
        return trueMyth.Result.err({ kind: PLATFORM_FAILURES.LOST, message: 'response lost' });
      },
      read: async (_stream, from, options) => {
        if (isCutOff()) return trueMyth.Result.err(failure);
        if (this.isUnresponsive(name)) await untilAborted(options.signal);
        if (from >= this.payloads.length && options.waitMs > 0) await this.waitForRecord(options);
        if (isCutOff() || options.signal?.aborted) return trueMyth.Result.err(failure);
        return this.page(from, options.limit);
      },
      retention: async () => trueMyth.Result.ok(this.retentionMs),
    };
  }

  private waitForRecord(options: platformClient.ReadOptions): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, options.waitMs);
      const wake = (): void => {
        clearTimeout(timer);
        resolve();
      };
      this.waiters.push(wake);
      options.signal?.addEventListener('abort', wake, { once: true });
    });
  }

  private page(from: number, limit: number): platformClient.PlatformResult<platformClient.LogPage> {
    const { firstOffset } = this;
    if (from < firstOffset) {
      const message = 'The records are no longer kept.';
      return trueMyth.Result.err({ kind: PLATFORM_FAILURES.EXPIRED, message, firstOffset });
    }
    const records = this.payloads
      .slice(from, from + limit)
      .map((payload, index) => ({ offset: from + index, ageMs: this.ageMs, payload }));
    return trueMyth.Result.ok({ records, firstOffset, tailOffset: this.payloads.length });
  }
}

function untilAborted(signal: AbortSignal | undefined): Promise<void> {
  return new Promise((resolve) => {
    signal?.addEventListener('abort', () => resolve(), { once: true });
  });
}
