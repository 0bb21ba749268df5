/** Which VMs are alive, by probing and by the platform's list. */
export * from './Types.js';
export * from './MemberStates.js';
export * from './ProbingMembership.js';
