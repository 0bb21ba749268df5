import * as crypto from 'node:crypto';

const ID_DIGITS = 16;

/** An id as callers choose them: turns lie in the store in no order of time. */
export function createAttemptId(name) {
  return crypto.createHash('sha256').update(name).digest('hex').slice(0, ID_DIGITS);
}
