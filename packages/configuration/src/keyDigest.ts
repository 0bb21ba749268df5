import * as crypto from 'node:crypto';

/** Returns the SHA-256 of a workspace key, in hexadecimal. */
export function keyDigest(key: string): string {
  return crypto.createHash('sha256').update(key, 'utf8').digest('hex');
}
