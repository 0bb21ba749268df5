/** Fixtures for tests of packages that communicate with peers. */
export * from './createTestNetwork.js';
export * from './countRemainingTimers.js';
export * from './createReadScheduler.js';
