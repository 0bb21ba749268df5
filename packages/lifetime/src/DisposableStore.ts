import type { Disposable } from './Types.js';

/** Owns disposables and releases them in the reverse order of their registration. */
export class DisposableStore implements Disposable {
  private readonly items = new Set<Disposable>();

  private disposed = false;

  /** Whether the store has been disposed of. */
  public get isDisposed(): boolean {
    return this.disposed;
  }

  /** Registers a disposable and returns it. On a disposed store it is disposed of at once. */
  public add<Item extends Disposable>(item: Item): Item {
    if (this.disposed) {
      Promise.resolve(item.dispose()).catch(() => undefined);
      return item;
    }
    this.items.add(item);
    return item;
  }

  /** Registers a function to call on disposal. */
  public addCallback(dispose: () => void | Promise<void>): Disposable {
    return this.add({ dispose });
  }

  /** Removes an item without disposing of it. */
  public remove(item: Disposable): void {
    this.items.delete(item);
  }

  /** @inheritdoc */
  public async dispose(): Promise<void> {
    if (this.disposed) return;
    this.disposed = true;
    const items = [...this.items].reverse();
    this.items.clear();
    for (const item of items) {
      // An item may depend on those registered before it, so items are released one at a time.
      await item.dispose();
    }
  }
}
