/**
 * Fleet-wide rate limits of workspaces. The owner of a limit grants tokens to VMs, partly in
 * advance.
 */
export * from './Types.js';
export * from './AllowanceClient.js';
export * from './AllowanceOwner.js';
