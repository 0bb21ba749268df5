/**
 * Program homes. The home of a program is the VM that owns the program's partition: it manages the
 * program's token budget and knows which VMs hold the program's turns.
 */
export * from './Types.js';
export * from './HomeClient.js';
export * from './HomeServer.js';
