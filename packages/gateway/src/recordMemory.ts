import * as errors from '@limpettack/errors';
import type { Call } from './Types.js';

/** How often the content of a turn that is being stored is in memory: itself and its record. */
export const RECORD_COPIES = 2;

/** Retry delay for callers whose turn finds no memory. They should try another VM. */
const RETRY_AFTER_MS = 400;

/** Retry delay while the log is full. Room is made when turns expire. */
const FULL_RETRY_AFTER_MS = 1_000;

/** The memory of a turn's record until the log has it, which may take as long as its caller waits. */
export function recordBytes({ body }: Call): number {
  return RECORD_COPIES * body.length;
}

/** The fault for a turn that has not run because its history or its record finds no memory. */
export function noMemoryFault(): errors.Fault {
  const message = 'The turns of the VM use all the memory that they may use.';
  return errors.createFault('overloaded', message, { retryAfterMs: RETRY_AFTER_MS });
}

/** The fault for a turn that has not run because the log has no room for its record. */
export function fullLogFault(): errors.Fault {
  const message = 'The log is full.';
  return errors.createFault('log-unavailable', message, { retryAfterMs: FULL_RETRY_AFTER_MS });
}
