/** Detects which VMs are alive, by probes and by the platform's VM list. */
export * from './Types.js';
export * from './MemberStates.js';
export * from './ProbingMembership.js';
