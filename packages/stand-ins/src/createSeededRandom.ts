import * as crypto from 'node:crypto';

const RANGE = 2 ** 32;

/** Creates a deterministic random function for a seed, with values in [0, 1). */
export function createSeededRandom(seed: number): () => number {
  let count = 0;
  return () => {
    count += 1;
    const digest = crypto.createHash('sha256').update(`${seed}:${count}`).digest();
    return digest.readUInt32BE(0) / RANGE;
  };
}
