import type * as clockTypes from '@limpettack/clock';
import type { ProgramState } from './Types.js';

/** The time at which a program expires, on this process's clock. */
export function expiryOf(program: ProgramState): clockTypes.Milliseconds {
  return program.openedAt + program.budget.wallTimeMs;
}
