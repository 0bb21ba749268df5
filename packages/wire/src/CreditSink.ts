import type { StreamSink } from './Types.js';

/** The sending end of a stream. Applies flow control: each item uses one credit of the receiver. */
export class CreditSink<Item> implements StreamSink<Item> {
  private readonly controller = new AbortController();

  private wakeSender: (() => void) | undefined;

  public constructor(
    private readonly transmit: (item: Item) => void,
    private credit: number,
  ) {}

  /** @inheritdoc */
  public get closed(): AbortSignal {
    return this.controller.signal;
  }

  /** @inheritdoc */
  public async send(item: Item): Promise<boolean> {
    if (this.closed.aborted) return false;
    this.transmit(item);
    this.credit -= 1;
    while (this.credit <= 0 && !this.closed.aborted) {
      await new Promise<void>((resolve) => {
        this.wakeSender = resolve;
      });
    }
    return !this.closed.aborted;
  }

  /** Adds credit that the receiver granted for further items. */
  public addCredit(count: number): void {
    this.credit += count;
    this.wake();
  }

  /** Ends sending after the receiver has cancelled the stream or its link was lost. */
  public close(): void {
    this.controller.abort();
    this.wake();
  }

  private wake(): void {
    const wake = this.wakeSender;
    this.wakeSender = undefined;
    wake?.();
  }
}
