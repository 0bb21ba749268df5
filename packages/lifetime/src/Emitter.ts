import type { Disposable, Event, Listener } from './Types.js';

/** The source of a typed event. */
export class Emitter<Value> implements Disposable {
  private readonly listeners = new Set<Listener<Value>>();

  /** Subscribes to the event. */
  public readonly event: Event<Value> = (listener) => {
    this.listeners.add(listener);
    return {
      dispose: () => {
        this.listeners.delete(listener);
      },
    };
  };

  /** Calls all listeners, in the order of subscription. */
  public fire(value: Value): void {
    [...this.listeners].forEach((listener) => listener(value));
  }

  /** @inheritdoc */
  public dispose(): void {
    this.listeners.clear();
  }
}
