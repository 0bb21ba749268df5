/** Fenced shards on the platform's log. */
export * from './Types.js';
export * from './Durabilities.js';
