import * as crypto from 'node:crypto';
import * as zod from 'zod';
import type { PeerIdentity } from './Types.js';

const NONCE_BYTES = 16;

/** Who proves that it holds the secret. */
export const HANDSHAKE_SIDES = { OPENER: 'opener', ACCEPTER: 'accepter' } as const;

/** The name of a side of the handshake. */
export type HandshakeSide = (typeof HANDSHAKE_SIDES)[keyof typeof HANDSHAKE_SIDES];

/** A process as it names itself. */
export const IDENTITY: zod.ZodType<PeerIdentity> = zod.object({
  name: zod.string().min(1).max(100),
  incarnation: zod.string().min(1).max(64),
  address: zod.string().min(1).max(300),
  failureDomain: zod.string().min(1).max(100),
});

/** First message, from the opener. */
export const HELLO = zod.object({ identity: IDENTITY, nonce: zod.string().min(1).max(64) });

/** Second message, from the accepter. */
export const CHALLENGE = zod.object({
  identity: IDENTITY,
  nonce: zod.string().min(1).max(64),
  proof: zod.string(),
});

/** Third message, from the opener. */
export const PROOF = zod.object({ proof: zod.string() });

/** What both sides know after the second message. */
export interface HandshakeFacts {
  readonly opener: PeerIdentity;
  readonly accepter: PeerIdentity;
  readonly openerNonce: string;
  readonly accepterNonce: string;
}

/** Makes a nonce. */
export function createNonce(): string {
  return crypto.randomBytes(NONCE_BYTES).toString('hex');
}

/** The keyed digest by which a side proves that it holds the secret of the fleet. */
export function createProof(secret: string, side: HandshakeSide, facts: HandshakeFacts): string {
  const digest = crypto.createHmac('sha256', secret);
  digest.update(
    JSON.stringify([
      side,
      facts.openerNonce,
      facts.accepterNonce,
      facts.opener.name,
      facts.opener.incarnation,
      facts.opener.address,
      facts.accepter.name,
      facts.accepter.incarnation,
      facts.accepter.address,
    ]),
  );
  return digest.digest('hex');
}

/** Compares two proofs in a time that tells nothing about them. */
export function proofsMatch(given: string, expected: string): boolean {
  const left = Buffer.from(given);
  const right = Buffer.from(expected);
  return left.length === right.length && crypto.timingSafeEqual(left, right);
}
