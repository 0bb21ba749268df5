import * as jestGlobals from '@jest/globals';
import * as bodyChunks from './BodyChunks.js';

const { describe, expect, test } = jestGlobals;

const BODY_BYTES = 1024 * 1024;

describe('BodyChunks', () => {
  // One caller that sent a body in chunks of one byte ended the process: each byte was kept as a
  // buffer of its own, and together they exceeded the maximum heap size.
  test('a body in chunks of one byte costs little more than its bytes', () => {
    const chunks = new bodyChunks.BodyChunks();
    let heldBytes = 0;
    for (let index = 0; index < BODY_BYTES; index += 1) {
      heldBytes += chunks.push(Buffer.of(index % 251));
    }
    expect(heldBytes).toBeLessThan(BODY_BYTES + 32 * 1024);
    const body = chunks.take();
    expect(body).toHaveLength(BODY_BYTES);
    expect(body.every((byte, index) => byte === index % 251)).toBe(true);
  });

  test('joins large and small chunks in their order', () => {
    const sizes = [5, 1, 8_000, 3, 4_000, 30_000, 2, 0, 6];
    const parts = sizes.map((size, index) => Buffer.alloc(size, index + 1));
    const chunks = new bodyChunks.BodyChunks();
    parts.forEach((part) => chunks.push(part));
    expect(chunks.take().equals(Buffer.concat(parts))).toBe(true);
  });

  test('a body of one chunk is not copied', () => {
    const chunks = new bodyChunks.BodyChunks();
    const body = Buffer.alloc(17_000, 1);
    expect(chunks.push(body)).toBe(body.length);
    expect(chunks.take()).toBe(body);
  });

  test('a request without a body has an empty one', () => {
    expect(new bodyChunks.BodyChunks().take()).toHaveLength(0);
  });
});
