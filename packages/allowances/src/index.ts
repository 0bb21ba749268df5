/** Limits of workspaces over the whole fleet, handed out in advance. */
export * from './Types.js';
export * from './AllowanceClient.js';
export * from './AllowanceOwner.js';
