import type * as targets from '@limpettack/targets';
import * as messages from './messages.js';
import type { CallItem, RecordedAnswer } from './Types.js';

const STATUS_OK = 200;

/** A service's answer as the journal holds it. */
export function recordService(answer: targets.ServiceAnswer): RecordedAnswer {
  return {
    status: answer.status,
    headers: { ...answer.headers },
    body: Buffer.from(answer.body).toString('base64'),
    chunks: [],
  };
}

/** A model's answer as the journal holds it. */
export function recordModel(chunks: readonly string[]): RecordedAnswer {
  return { status: STATUS_OK, headers: {}, body: '', chunks: [...chunks] };
}

/** A recorded answer as the items that a caller is sent. */
export function itemsOfAnswer(answer: RecordedAnswer): CallItem[] {
  if (answer.chunks.length > 0) {
    return answer.chunks.map((data, index) => ({ kind: messages.ITEM_KINDS.CHUNK, index, data }));
  }
  return [
    {
      kind: messages.ITEM_KINDS.ANSWER,
      status: answer.status,
      headers: answer.headers,
      body: Buffer.from(answer.body, 'base64'),
    },
  ];
}
