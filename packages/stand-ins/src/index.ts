/** Simulated platform and targets with injectable faults, for tests and the demo. */
export * from './Types.js';
export * from './Outcomes.js';
export * from './schemas.js';
export * from './noFaults.js';
export * from './generateText.js';
export * from './resetSocket.js';
export * from './PlatformServer.js';
export * from './EngineServer.js';
export * from './ServiceServer.js';
