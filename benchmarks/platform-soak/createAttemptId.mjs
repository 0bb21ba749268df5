import * as crypto from 'node:crypto';

const ID_DIGITS = 16;

/**
 * Derives an id from a name. Like the ids that callers choose, it does not sort by time, so that
 * turns are not stored in the order of time.
 */
export function createAttemptId(name) {
  return crypto.createHash('sha256').update(name).digest('hex').slice(0, ID_DIGITS);
}
