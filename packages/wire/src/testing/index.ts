/** Fixtures for tests of packages that talk to peers. */
export * from './createTestNetwork.js';
export * from './watchTimers.js';
