/** Configuration of routes, pools, workspaces and keys, with one history shared by all VMs. */
export * from './Types.js';
export * from './schemas.js';
export * from './FoldOutcomes.js';
export * from './keyDigest.js';
export * from './checkState.js';
export * from './applyChange.js';
export * from './parseRecord.js';
export * from './ConfigurationFold.js';
export * from './ConfigurationStore.js';
export * from './ConfigurationFollower.js';
export * from './ConfigurationReader.js';
export * from './ConfigurationPublisher.js';
