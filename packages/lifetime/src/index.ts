/** Disposables and typed events. Every opened resource is registered with its owner. */
export * from './Types.js';
export * from './DisposableStore.js';
export * from './Emitter.js';
export * from './Latch.js';
