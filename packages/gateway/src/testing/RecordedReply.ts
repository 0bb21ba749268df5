import type * as errors from '@limpettack/errors';
import type { Reply, CompleteResponse } from '../Types.js';

/** A reply that records what the caller receives. */
export class RecordedReply implements Reply {
  public fault: errors.Fault | undefined;

  public response: CompleteResponse | undefined;

  public readonly chunks: string[] = [];

  public outcome: 'open' | 'ended' | 'broken' = 'open';

  public hasStarted = false;

  public refuse(fault: errors.Fault): void {
    this.fault = fault;
  }

  /** The memory that is left for a response that is collected. */
  public roomBytes = Infinity;

  public reserve(bytes: number): boolean {
    if (bytes > this.roomBytes) return false;
    this.roomBytes -= bytes;
    return true;
  }

  public send(response: CompleteResponse): void {
    this.response = response;
  }

  public start(): void {
    this.hasStarted = true;
  }

  public write(chunk: Uint8Array): void {
    this.chunks.push(Buffer.from(chunk).toString());
  }

  /** Set by a test whose caller does not read. */
  public reading: Promise<void> | undefined;

  public awaitReader(): Promise<void> | undefined {
    return this.reading;
  }

  public end(): void {
    this.outcome = 'ended';
  }

  public abort(): void {
    this.outcome = 'broken';
  }

  /** Ids of the events that the caller has received. */
  public get eventIds(): readonly number[] {
    return this.chunks.map((chunk) => Number(/id: (\d+)/.exec(chunk)?.[1]));
  }
}
