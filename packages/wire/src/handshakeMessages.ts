import * as crypto from 'node:crypto';
import * as zod from 'zod';
import type { PeerIdentity } from './Types.js';

const NONCE_BYTES = 16;

/** The sides of the handshake. Each proves that it holds the secret. */
export const HANDSHAKE_SIDES = { OPENER: 'opener', ACCEPTER: 'accepter' } as const;

/** A side of the handshake. */
export type HandshakeSide = (typeof HANDSHAKE_SIDES)[keyof typeof HANDSHAKE_SIDES];

/** The schema of the identity that a process states in the handshake. */
export const IDENTITY: zod.ZodType<PeerIdentity> = zod.object({
  name: zod.string().min(1).max(100),
  incarnation: zod.string().min(1).max(64),
  address: zod.string().min(1).max(300),
  failureDomain: zod.string().min(1).max(100),
});

/** The schema of the first message, from the opener. */
export const HELLO = zod.object({ identity: IDENTITY, nonce: zod.string().min(1).max(64) });

/** The schema of the second message, from the accepter. */
export const CHALLENGE = zod.object({
  identity: IDENTITY,
  nonce: zod.string().min(1).max(64),
  proof: zod.string(),
});

/** The schema of the third message, from the opener. */
export const PROOF = zod.object({ proof: zod.string() });

/**
 * The identities and nonces that both sides know after the second message, and that proofs cover.
 */
export interface HandshakeTranscript {
  readonly opener: PeerIdentity;
  readonly accepter: PeerIdentity;
  readonly openerNonce: string;
  readonly accepterNonce: string;
}

/** Creates a random nonce as hexadecimal text. */
export function createNonce(): string {
  return crypto.randomBytes(NONCE_BYTES).toString('hex');
}

/** Creates the HMAC by which a side proves that it holds the secret of the fleet. */
export function createProof(
  secret: string,
  side: HandshakeSide,
  transcript: HandshakeTranscript,
): string {
  const digest = crypto.createHmac('sha256', secret);
  digest.update(
    JSON.stringify([
      side,
      transcript.openerNonce,
      transcript.accepterNonce,
      transcript.opener.name,
      transcript.opener.incarnation,
      transcript.opener.address,
      transcript.accepter.name,
      transcript.accepter.incarnation,
      transcript.accepter.address,
    ]),
  );
  return digest.digest('hex');
}

/** Compares two proofs in constant time, so that the duration reveals nothing about them. */
export function proofsMatch(given: string, expected: string): boolean {
  const left = Buffer.from(given);
  const right = Buffer.from(expected);
  return left.length === right.length && crypto.timingSafeEqual(left, right);
}
