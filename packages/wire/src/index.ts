/** Requests and streams between VM processes, over one WebSocket link per pair. */
export * from './Types.js';
export * from './PeerFailures.js';
export { ConnectionLimiter } from './ConnectionLimiter.js';
export * from './FleetNetwork.js';
export * from './ReadScheduler.js';
export * from './ServerListener.js';
export { FAULT } from './frames.js';
export { STREAM_WINDOW_ITEMS } from './PeerLink.js';
