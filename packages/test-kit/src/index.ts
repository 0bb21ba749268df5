/** A fault-injecting proxy, real processes and whole fleets of them, for tests. */
export * from './Types.js';
export * from './Directions.js';
export * from './FaultProxy.js';
export * from './RunningProcess.js';
export * from './startProcess.js';
export * from './PlatformProcess.js';
export * from './TargetProcess.js';
export * from './fleetTables.js';
export * from './FleetTarget.js';
export * from './FleetVm.js';
export * from './Fleet.js';
export * from './startFleet.js';
export * from './waitFor.js';
export * from './Caller.js';
export * from './ProgramRunner.js';
export * from './TestTimer.js';
export * from './findFreePorts.js';
