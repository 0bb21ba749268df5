import * as trueMyth from 'true-myth';
import type { PeerFailure, PeerResult, PeerStream } from './Types.js';

/** What the queue tells the side that fills it. */
export interface QueueObserver {
  /** The reader has taken an item. */
  onTaken(): void;
  /** The reader wants no more items. */
  onCancelled(): void;
}

/** The receiving end of a stream: items wait here until they are read. */
export class ItemQueue<Item> implements PeerStream<Item> {
  private readonly items: Item[] = [];

  private ending: PeerResult<Item | undefined> | undefined;

  private wakeReader: (() => void) | undefined;

  public constructor(private readonly observer: QueueObserver) {}

  /** How many items wait. */
  public get length(): number {
    return this.items.length;
  }

  /** Adds an item. */
  public push(item: Item): void {
    if (this.ending !== undefined) return;
    this.items.push(item);
    this.wake();
  }

  /** Ends the stream well, after the items that wait. */
  public end(): void {
    this.settle(trueMyth.Result.ok(undefined));
  }

  /** Ends the stream with a failure, after the items that wait. */
  public fail(failure: PeerFailure): void {
    this.settle(trueMyth.Result.err(failure));
  }

  /** @inheritdoc */
  public async next(): Promise<PeerResult<Item | undefined>> {
    while (this.items.length === 0) {
      if (this.ending !== undefined) return this.ending;
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
    if (this.ending !== undefined) return;
    this.items.length = 0;
    this.end();
    this.observer.onCancelled();
  }

  private settle(ending: PeerResult<Item | undefined>): void {
    if (this.ending !== undefined) return;
    this.ending = ending;
    this.wake();
  }

  private wake(): void {
    const wake = this.wakeReader;
    this.wakeReader = undefined;
    wake?.();
  }
}
