import * as crypto from 'node:crypto';
import type { CallRequest, RecordedTurn } from './Types.js';

/** Digest of what a caller asked for; equal digests are the same request. */
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

/** Marks the content of a call for one workspace, whatever program it came with. */
export function fingerprintRequest(request: CallRequest): string {
  return crypto
    .createHash('sha256')
    .update(JSON.stringify([request.workspace]))
    .update(digestRequest(request))
    .digest('hex');
}

/** Chains a turn to the one before it. */
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
