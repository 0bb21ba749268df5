/** Test utilities: a fault-injecting proxy, child processes and fleets of VM processes. */
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
