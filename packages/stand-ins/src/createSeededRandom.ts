import * as crypto from 'node:crypto';

const RANGE = 2 ** 32;

/** Makes a function that returns numbers from 0 up to 1; the same ones for the same seed. */
export function createSeededRandom(seed: number): () => number {
  let count = 0;
  return () => {
    count += 1;
    const digest = crypto.createHash('sha256').update(`${seed}:${count}`).digest();
    return digest.readUInt32BE(0) / RANGE;
  };
}
