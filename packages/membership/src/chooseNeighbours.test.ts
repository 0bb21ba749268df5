import * as jestGlobals from '@jest/globals';
import * as chooseNeighbours from './chooseNeighbours.js';

const { describe, expect, test } = jestGlobals;

function createFleet(size: number): { readonly name: string }[] {
  return Array.from({ length: size }, (_, index) => ({ name: `vm-${index}` }));
}

function neighboursOf(fleet: { readonly name: string }[], name: string): readonly string[] {
  const others = fleet.filter((member) => member.name !== name);
  return chooseNeighbours.chooseNeighbours({ name }, others).map((member) => member.name);
}

/** Counts the steps in which an update from one member reaches all, from neighbour to neighbour. */
function stepsToAll(fleet: { readonly name: string }[]): number {
  const informed = new Set(['vm-0']);
  let steps = 0;
  while (informed.size < fleet.length && steps < fleet.length) {
    [...informed].forEach((name) =>
      neighboursOf(fleet, name).forEach((other) => informed.add(other)),
    );
    steps += 1;
  }
  return steps;
}

describe('chooseNeighbours', () => {
  test.each([
    [20, 5],
    [195, 8],
    [400, 9],
  ])('in a fleet of %i each member probes %i, and is probed by about as many', (size, count) => {
    const fleet = createFleet(size);
    const probedBy = new Map<string, number>();
    fleet.forEach(({ name }) => {
      const neighbours = neighboursOf(fleet, name);
      expect(new Set(neighbours).size).toBe(count);
      expect(neighbours).not.toContain(name);
      neighbours.forEach((other) => probedBy.set(other, (probedBy.get(other) ?? 0) + 1));
    });
    expect(probedBy.size).toBe(size);
    expect(Math.min(...probedBy.values())).toBeGreaterThanOrEqual(count - 1);
    expect(stepsToAll(fleet)).toBeLessThanOrEqual(count);
  });

  test('in a small fleet each member probes all others', () => {
    expect(neighboursOf(createFleet(13), 'vm-4')).toHaveLength(12);
  });

  test('replaces a lost neighbour by the next member', () => {
    const fleet = createFleet(60);
    const [lost] = neighboursOf(fleet, 'vm-3');
    const after = neighboursOf(
      fleet.filter(({ name }) => name !== lost),
      'vm-3',
    );
    expect(after).not.toContain(lost);
    expect(after).toHaveLength(neighboursOf(fleet, 'vm-3').length);
  });
});
