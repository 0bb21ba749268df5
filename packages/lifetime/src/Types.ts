/** An object that holds a resource until it is disposed of. */
export interface Disposable {
  /** Releases the resource. A second call does nothing. */
  dispose(): void | Promise<void>;
}

/** Receives the values of an event. */
export type Listener<Value> = (value: Value) => void;

/** A typed event. Call it with a listener to subscribe. Dispose of the result to unsubscribe. */
export type Event<Value> = (listener: Listener<Value>) => Disposable;
