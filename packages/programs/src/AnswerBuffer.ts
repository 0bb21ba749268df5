import * as messages from './messages.js';
import type { CallItem } from './Types.js';

type EndItem = Extract<CallItem, { kind: 'finished' | 'fault' }>;

/**
 * The answer of a running call. Readers take it from any index on, each at its own pace, so that
 * a caller that comes back or sends the call twice gets the one answer.
 */
export class AnswerBuffer {
  private readonly items: CallItem[] = [];

  private ending: EndItem | undefined;

  private readers: (() => void)[] = [];

  private chunkTotal = 0;

  /** Called with each target that the call is sent to. */
  public onStarted: ((target: string) => void) | undefined;

  /** How many chunks the answer has so far. */
  public get chunkCount(): number {
    return this.chunkTotal;
  }

  /** Whether the answer has ended. */
  public get hasEnded(): boolean {
    return this.ending !== undefined;
  }

  /** Adds a piece of the answer. */
  public add(item: CallItem): void {
    if (this.ending !== undefined) return;
    if (item.kind === messages.ITEM_KINDS.CHUNK) this.chunkTotal += 1;
    if (item.kind === messages.ITEM_KINDS.STARTED) this.onStarted?.(item.target);
    this.items.push(item);
    this.wakeReaders();
  }

  /** Ends the answer. */
  public end(item: EndItem): void {
    if (this.ending !== undefined) return;
    this.ending = item;
    this.wakeReaders();
  }

  /** The chunks so far, as JSON texts. */
  public chunks(): string[] {
    return this.items.flatMap((item) =>
      item.kind === messages.ITEM_KINDS.CHUNK ? [item.data] : [],
    );
  }

  /** All items, as they come, up to the last one. Chunks below the index are left out. */
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

  /** Resolves when the answer has ended. */
  public async ended(): Promise<void> {
    while (this.ending === undefined) await this.nextChange();
  }

  private nextChange(): Promise<void> {
    return new Promise((resolve) => {
      this.readers.push(resolve);
    });
  }

  private wakeReaders(): void {
    const { readers } = this;
    this.readers = [];
    readers.forEach((wake) => wake());
  }
}
