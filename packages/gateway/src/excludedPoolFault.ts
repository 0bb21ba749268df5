import * as errors from '@limpettack/errors';

/**
 * Retry delay for callers of a pool whose targets the rules exclude. It is longer than for a full
 * pool, because operators take longer to change a rule.
 */
export const EXCLUDED_RETRY_AFTER_MS = 1_000;

/** The fault for a request that was not sent because the rules exclude all targets of its pool. */
export function excludedPoolFault(): errors.Fault {
  const message = 'All targets of the pool are evacuated or outside the home regions.';
  const overrides = { run: errors.RUN_STATES.NOT_RUN, retryAfterMs: EXCLUDED_RETRY_AFTER_MS };
  return errors.createFault('target-unavailable', message, overrides);
}
