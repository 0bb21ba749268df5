/** Routes, pools, workspaces and keys: one history, the same on every VM. */
export * from './Types.js';
export * from './schemas.js';
