/** Stand-ins for the platform and for targets, with faults, for tests and the demo. */
export * from './Types.js';
export * from './Outcomes.js';
export * from './schemas.js';
export * from './noFaults.js';
export * from './PlatformServer.js';
