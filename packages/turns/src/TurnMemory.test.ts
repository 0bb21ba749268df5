import * as jestGlobals from '@jest/globals';
import * as turnMemory from './TurnMemory.js';

const { describe, expect, test } = jestGlobals;

const MEGABYTE = 1_000_000;

describe('TurnMemory', () => {
  // Guards against many long conversations that are each within all limits, and together fill the
  // memory of the process.
  test('bounds all reservations together and takes back what is released', () => {
    const memory = new turnMemory.TurnMemory(4 * MEGABYTE);
    const [first, second] = [memory.open(), memory.open()];
    expect(first.reserve(2 * MEGABYTE)).toBe(true);
    expect(second.reserve(2 * MEGABYTE)).toBe(false);
    expect(second.reserve(MEGABYTE)).toBe(true);
    expect(memory.usedBytes).toBe(3 * MEGABYTE);
    first.dispose();
    first.dispose();
    expect(memory.usedBytes).toBe(MEGABYTE);
    expect(second.reserve(2 * MEGABYTE)).toBe(true);
  });

  test('reserves a part for short conversations', () => {
    const memory = new turnMemory.TurnMemory(4 * MEGABYTE);
    expect(memory.open().reserve(3 * MEGABYTE)).toBe(true);
    expect(memory.open().reserve(300_000)).toBe(false);
    expect(memory.open().reserve(100_000)).toBe(true);
    const growing = memory.open();
    expect(growing.reserve(200_000)).toBe(true);
    expect(growing.reserve(100_000)).toBe(false);
  });

  test('counts what cannot be refused, and nothing after the release', () => {
    const memory = new turnMemory.TurnMemory(MEGABYTE);
    const holder = memory.open();
    holder.add(2 * MEGABYTE);
    expect(memory.open().reserve(1)).toBe(false);
    holder.dispose();
    holder.add(MEGABYTE);
    expect(holder.reserve(1)).toBe(false);
    expect(memory.usedBytes).toBe(0);
  });
});
