/**
 * Token budgets of programs. The home of a program is the VM that owns the program's partition: it
 * manages the program's token budget and knows which VMs wrote the program's retained turns. Only
 * the state of the budget is logged here; the package `programs` also journals the turns.
 */
export * from './Types.js';
export * from './HomeClient.js';
export * from './HomeServer.js';
