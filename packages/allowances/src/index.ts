/** Rate limits of workspaces for the whole fleet, granted to VMs in advance. */
export * from './Types.js';
export * from './AllowanceClient.js';
export * from './AllowanceOwner.js';
