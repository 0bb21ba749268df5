import type { Amount, ProgramState } from './Types.js';

/** Zero tokens and zero calls. */
export const NO_AMOUNT: Amount = { tokens: 0, calls: 0 };

/** Adds two amounts. */
export function add(left: Amount, right: Amount): Amount {
  return { tokens: left.tokens + right.tokens, calls: left.calls + right.calls };
}

/** Subtracts the right amount from the left; no component falls below zero. */
export function subtract(left: Amount, right: Amount): Amount {
  return {
    tokens: Math.max(0, left.tokens - right.tokens),
    calls: Math.max(0, left.calls - right.calls),
  };
}

/** The component-wise minimum of two amounts. */
export function minimum(left: Amount, right: Amount): Amount {
  return {
    tokens: Math.min(left.tokens, right.tokens),
    calls: Math.min(left.calls, right.calls),
  };
}

/** The component-wise maximum of two amounts. */
export function maximum(left: Amount, right: Amount): Amount {
  return {
    tokens: Math.max(left.tokens, right.tokens),
    calls: Math.max(left.calls, right.calls),
  };
}

/** Half of an amount, rounded up. */
export function half(amount: Amount): Amount {
  return { tokens: Math.ceil(amount.tokens / 2), calls: Math.ceil(amount.calls / 2) };
}

/** The part of a program's budget that is not spent yet, including its reservation. */
export function unspent(program: ProgramState): Amount {
  return subtract(program.budget, program.spent);
}

/** The part of a program's budget that is neither spent nor reserved. */
export function available(program: ProgramState): Amount {
  return subtract(unspent(program), program.reserved);
}
