import * as trueMyth from 'true-myth';
import type { PeerFailure, PeerResult, PeerStream } from './Types.js';

/** Notifies the side that fills a queue of what the reader does. */
export interface QueueObserver {
  /** Called when the reader has taken an item. */
  onTaken(): void;
  /** Called when the reader has cancelled the stream. */
  onCancelled(): void;
}

/** The receiving end of a stream. Buffers items until they are read. */
export class ItemQueue<Item> implements PeerStream<Item> {
  private readonly items: Item[] = [];

  /** How the stream ended; undefined while it is open. */
  private result: PeerResult<Item | undefined> | undefined;

  private wakeReader: (() => void) | undefined;

  public constructor(private readonly observer: QueueObserver) {}

  /** The number of buffered items. */
  public get length(): number {
    return this.items.length;
  }

  /** Appends an item. Ignored after the end of the stream. */
  public push(item: Item): void {
    if (this.result !== undefined) return;
    this.items.push(item);
    this.wake();
  }

  /** Ends the stream normally, after the buffered items. */
  public end(): void {
    this.settle(trueMyth.Result.ok(undefined));
  }

  /** Ends the stream with a failure, after the buffered items. */
  public fail(failure: PeerFailure): void {
    this.settle(trueMyth.Result.err(failure));
  }

  /** @inheritdoc */
  public async next(): Promise<PeerResult<Item | undefined>> {
    while (this.items.length === 0) {
      if (this.result !== undefined) return this.result;
      await new Promise<void>((resolve) => {
        this.wakeReader = resolve;
      });
    }
    const item = this.items.shift() as Item;
    this.observer.onTaken();
    return trueMyth.Result.ok(item);
  }

  /** @inheritdoc */
  public dispose(): void {
    if (this.result !== undefined) return;
    this.items.length = 0;
    this.end();
    this.observer.onCancelled();
  }

  private settle(result: PeerResult<Item | undefined>): void {
    if (this.result !== undefined) return;
    this.result = result;
    this.wake();
  }

  private wake(): void {
    const wake = this.wakeReader;
    this.wakeReader = undefined;
    wake?.();
  }
}
