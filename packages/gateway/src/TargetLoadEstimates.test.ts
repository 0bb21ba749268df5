import * as jestGlobals from '@jest/globals';
import * as targetLoadEstimates from './TargetLoadEstimates.js';
import * as fixtures from './testing/gatewayFixtures.js';
import type { Target } from './Types.js';

const { describe, expect, test } = jestGlobals;

const TARGETS = ['one', 'two', 'three', 'four'].map((id) => fixtures.createTarget(id));
const find = (id: string): Target | undefined => TARGETS.find((target) => target.id === id);

/** Estimates to which two VMs have reported a sample of 20 for each target. */
function createEstimates(): targetLoadEstimates.TargetLoadEstimates {
  const estimates = new targetLoadEstimates.TargetLoadEstimates();
  TARGETS.forEach(({ id }) => noteSamples(estimates, ['a', 'b'], id, 20));
  return estimates;
}

function noteSamples(
  estimates: targetLoadEstimates.TargetLoadEstimates,
  vms: readonly string[],
  target: string,
  value: number,
  incarnation = '1',
): void {
  const samples = [{ target, incarnation, value, kind: 'stream' as const }];
  vms.forEach((vm) => estimates.note(vm, { samples, inFlight: [] }, 0, find));
}

describe('TargetLoadEstimates', () => {
  // A VM that was paused measured all targets as slow and would have drained healthy ones.
  test('one slow VM does not make a target slow, several VMs do', () => {
    const estimates = createEstimates();
    noteSamples(estimates, Array(9).fill('slow'), 'one', 80);
    noteSamples(estimates, ['c', 'd', 'e'], 'one', 50, 'another process');
    expect(estimates.view(1, 0, find).targets).toEqual([]);
    noteSamples(estimates, ['c', 'd', 'e'], 'one', 50);
    expect(estimates.view(1, 0, find).targets).toEqual([
      { target: 'one', incarnation: '1', pace: 2.5, inFlight: 0 },
    ]);
  });

  // With two targets, the median is one of the two, so that the other one is always slow or fast.
  test.each([
    { targetCount: 2, slowCount: 0 },
    { targetCount: 3, slowCount: 1 },
  ])('a pool with $targetCount targets with samples has $slowCount slow ones', (row) => {
    const estimates = new targetLoadEstimates.TargetLoadEstimates();
    const vms = ['a', 'b', 'c', 'd', 'e'];
    TARGETS.slice(0, row.targetCount).forEach(({ id }) => noteSamples(estimates, vms, id, 20));
    noteSamples(estimates, vms, 'one', 50);
    expect(estimates.view(1, 0, find).targets).toHaveLength(row.slowCount);
  });

  test('a target stays slow between the two thresholds, and until its samples have expired', () => {
    const estimates = createEstimates();
    const isSlowAfter = (value: number): boolean => {
      noteSamples(estimates, ['a', 'b', 'c', 'd', 'e', 'a', 'b', 'c', 'd'], 'one', value);
      return estimates.view(1, 0, find).targets.length > 0;
    };
    expect([26, 30, 26, 24, 30].map(isSlowAfter)).toEqual([false, true, true, false, true]);
    expect(estimates.view(1, 30_001, find).targets).toEqual([]);
  });

  test('requests in flight are added up over VMs and forgotten without further reports', () => {
    const estimates = createEstimates();
    const report = { samples: [], inFlight: [{ target: 'one', count: 1 }] };
    ['a', 'b'].forEach((vm, index) => estimates.note(vm, report, index * 2_000, find));
    expect(estimates.view(1, 2_000, find).targets).toMatchObject([{ pace: 1, inFlight: 2 }]);
    expect(estimates.view(1, 2_501, find).targets).toEqual([]);
  });
});
