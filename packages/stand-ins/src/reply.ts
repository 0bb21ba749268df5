import * as messages from './httpMessages.js';
import * as outcomes from './Outcomes.js';
import type * as targetHost from './TargetHost.js';
import type { Outcome } from './Types.js';

const FIRST_ERROR_STATUS = 400;

/** Response bodies of refusals. */
export const REFUSALS = {
  FENCED: { error: { type: 'fenced' } },
  INVALID: { error: { type: 'invalid' } },
  NOT_FOUND: { error: { type: 'not-found' } },
  FAULT: { error: { type: 'fault' } },
  UNAVAILABLE: { error: { type: 'unavailable' } },
} as const;

/** Sends a JSON response and returns the outcome for the journal. */
export function reply(
  exchange: targetHost.TargetExchange,
  status: number,
  body?: unknown,
): Outcome {
  messages.sendJson(exchange.response, status, body);
  return status < FIRST_ERROR_STATUS ? outcomes.OUTCOMES.FINISHED : outcomes.OUTCOMES.REFUSED;
}
