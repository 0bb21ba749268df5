/** Disposables and typed events: everything opened is registered with its owner. */
export * from './Types.js';
export * from './DisposableStore.js';
export * from './Emitter.js';
