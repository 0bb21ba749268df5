import * as crypto from 'node:crypto';
import type { CallRequest, RecordedTurn } from './Types.js';

/** Digest of the content of a call; equal digests mean equal requests. */
export function digestRequest(request: CallRequest): string {
  const { call } = request;
  const digest = crypto.createHash('sha256').update(JSON.stringify([request.route, call.kind]));
  if (call.kind === 'model') {
    digest.update(JSON.stringify([call.messages, call.maximumTokens, call.parameters]));
  } else {
    digest.update(JSON.stringify([call.method, call.path, call.idempotencyKey]));
    digest.update(call.body);
  }
  return digest.digest('hex');
}

/** Identifies the content of a call within a workspace, independent of the program. */
export function fingerprintRequest(request: CallRequest): string {
  return crypto
    .createHash('sha256')
    .update(JSON.stringify([request.workspace]))
    .update(digestRequest(request))
    .digest('hex');
}

/** Digest that chains a turn to the previous turn. */
export function chainTurn(
  before: RecordedTurn | undefined,
  turn: Omit<RecordedTurn, 'chainDigest'>,
): string {
  return crypto
    .createHash('sha256')
    .update(before?.chainDigest ?? '')
    .update(JSON.stringify([turn.turn, turn.requestDigest, turn.messages, turn.answer]))
    .digest('hex');
}
