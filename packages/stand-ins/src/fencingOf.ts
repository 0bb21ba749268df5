import type * as http from 'node:http';

import * as messages from './httpMessages.js';

/** Fencing scope and number of a request; undefined when absent or invalid. */
export interface FencingFields {
  readonly scope: string | undefined;
  readonly fencingNumber: number | undefined;
}

/** Reads the fencing headers of a request. */
export function fencingOf(request: http.IncomingMessage): FencingFields {
  return {
    scope: messages.headerOf(request, 'limpettack-fencing-scope'),
    fencingNumber: messages.numberOf(messages.headerOf(request, 'limpettack-fencing-number')),
  };
}
