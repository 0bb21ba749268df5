import type * as targets from '@limpettack/targets';
import * as messages from './messages.js';
import type { CallItem, RecordedResponse } from './Types.js';

const STATUS_OK = 200;

/** Converts a service's response to the form that is stored in the journal. */
export function recordServiceResponse(response: targets.ServiceResponse): RecordedResponse {
  return {
    status: response.status,
    headers: { ...response.headers },
    body: Buffer.from(response.body).toString('base64'),
    chunks: [],
  };
}

/** Converts a model's response to the form that is stored in the journal. */
export function recordModelResponse(chunks: readonly string[]): RecordedResponse {
  return { status: STATUS_OK, headers: {}, body: '', chunks: [...chunks] };
}

/** Converts a recorded response to the items of a response stream. */
export function itemsOfResponse(response: RecordedResponse): CallItem[] {
  if (response.chunks.length > 0) {
    return response.chunks.map((data, index) => ({ kind: messages.ITEM_KINDS.CHUNK, index, data }));
  }
  return [
    {
      kind: messages.ITEM_KINDS.ANSWER,
      status: response.status,
      headers: response.headers,
      body: Buffer.from(response.body, 'base64'),
    },
  ];
}
