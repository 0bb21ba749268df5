import type * as http from 'node:http';

import * as messages from './httpMessages.js';

/** The fencing fields of a call. */
export interface FencingFields {
  readonly scope: string | undefined;
  readonly fencingNumber: number | undefined;
}

/** Reads the fencing fields of a call. */
export function fencingOf(request: http.IncomingMessage): FencingFields {
  return {
    scope: messages.headerOf(request, 'limpettack-fencing-scope'),
    fencingNumber: messages.numberOf(messages.headerOf(request, 'limpettack-fencing-number')),
  };
}
