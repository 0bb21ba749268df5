import * as messages from './messages.js';
import type { CallItem } from './Types.js';

type EndItem = Extract<CallItem, { kind: 'finished' | 'fault' }>;

/**
 * Buffers the response of a running call. Each reader can start at any chunk and reads at its own
 * pace, so that a caller that reconnects or sends the call twice gets the same response.
 */
export class ResponseBuffer {
  private readonly items: CallItem[] = [];

  private ending: EndItem | undefined;

  private waitingReaders: (() => void)[] = [];

  private receivedChunks = 0;

  /** Called with each target that the call is sent to. */
  public onStarted: ((target: string) => void) | undefined;

  /** Number of chunks received so far. */
  public get chunkCount(): number {
    return this.receivedChunks;
  }

  /** Whether the response has ended. */
  public get hasEnded(): boolean {
    return this.ending !== undefined;
  }

  /** Adds an item; ignored after the end of the response. */
  public add(item: CallItem): void {
    if (this.ending !== undefined) return;
    if (item.kind === messages.ITEM_KINDS.CHUNK) this.receivedChunks += 1;
    if (item.kind === messages.ITEM_KINDS.STARTED) this.onStarted?.(item.target);
    this.items.push(item);
    this.wakeReaders();
  }

  /** Ends the response; only the first end takes effect. */
  public end(item: EndItem): void {
    if (this.ending !== undefined) return;
    this.ending = item;
    this.wakeReaders();
  }

  /** The chunks received so far, as JSON texts. */
  public chunks(): string[] {
    return this.items.flatMap((item) =>
      item.kind === messages.ITEM_KINDS.CHUNK ? [item.data] : [],
    );
  }

  /**
   * Yields all items as they arrive, until the response has ended. Chunks with an index below
   * `fromChunk` are skipped.
   */
  public async *read(fromChunk: number): AsyncGenerator<CallItem, void, void> {
    for (let position = 0; ; position += 1) {
      while (position >= this.items.length && this.ending === undefined) await this.nextChange();
      const item = this.items[position];
      if (item === undefined) break;
      const isKnown = item.kind === messages.ITEM_KINDS.CHUNK && item.index < fromChunk;
      if (!isKnown) yield item;
    }
    if (this.ending !== undefined) yield this.ending;
  }

  /** Resolves when the response has ended. */
  public async ended(): Promise<void> {
    while (this.ending === undefined) await this.nextChange();
  }

  private nextChange(): Promise<void> {
    return new Promise((resolve) => {
      this.waitingReaders.push(resolve);
    });
  }

  private wakeReaders(): void {
    const { waitingReaders: readers } = this;
    this.waitingReaders = [];
    readers.forEach((wake) => wake());
  }
}
