/** Something that holds a resource until it is disposed of. */
export interface Disposable {
  /** Releases the resource. A second call does nothing. */
  dispose(): void | Promise<void>;
}

/** Receives the events of one kind. */
export type Listener<Value> = (value: Value) => void;

/** A typed event: call it with a listener to subscribe; dispose of the result to unsubscribe. */
export type Event<Value> = (listener: Listener<Value>) => Disposable;
