import * as jestGlobals from '@jest/globals';
import * as targetLoadEstimates from './TargetLoadEstimates.js';
import * as fixtures from './testing/gatewayFixtures.js';

const { describe, expect, test } = jestGlobals;

const TARGETS = ['one', 'two', 'three', 'four'].map((id) => fixtures.createTarget(id));
const find = (id: string): (typeof TARGETS)[number] | undefined =>
  TARGETS.find((target) => target.id === id);

/** Estimates to which each VM has reported a sample of 20 for each target. */
function createEstimates(vms: readonly string[]): targetLoadEstimates.TargetLoadEstimates {
  const estimates = new targetLoadEstimates.TargetLoadEstimates();
  vms.forEach((vm) => TARGETS.forEach(({ id }) => noteSample(estimates, vm, id, 20)));
  return estimates;
}

function noteSample(
  estimates: targetLoadEstimates.TargetLoadEstimates,
  vm: string,
  target: string,
  value: number,
  { incarnation = '1', now = 0 } = {},
): void {
  const samples = [{ target, incarnation, value, kind: 'stream' as const }];
  estimates.note(vm, { samples, inFlight: [] }, now, find);
}

const slowTargets = (
  estimates: targetLoadEstimates.TargetLoadEstimates,
  now = 0,
): readonly string[] => estimates.view(1, now, find).targets.map(({ target }) => target);

describe('TargetLoadEstimates', () => {
  // A VM that was paused measured all targets as slow and would have drained healthy ones.
  test('one slow VM does not make a target slow, three VMs do', () => {
    const estimates = createEstimates(['a', 'b']);
    for (let round = 0; round < 9; round += 1) noteSample(estimates, 'slow', 'one', 80);
    expect(slowTargets(estimates)).toEqual([]);
    ['c', 'd', 'e'].forEach((vm) => noteSample(estimates, vm, 'one', 50));
    expect(estimates.view(1, 0, find).targets).toEqual([
      { target: 'one', incarnation: '1', pace: 2.5, inFlight: 0 },
    ]);
  });

  test('a target stays slow between the two thresholds, and until its samples have expired', () => {
    const estimates = createEstimates([]);
    const vms = ['a', 'b', 'c', 'd', 'e'];
    const noteAll = (value: number): void =>
      vms.forEach((vm) => {
        noteSample(estimates, vm, 'one', value);
        ['two', 'three'].forEach((id) => noteSample(estimates, vm, id, 20, { now: 20_000 }));
      });
    noteAll(26);
    expect(slowTargets(estimates)).toEqual([]);
    noteAll(30);
    noteAll(30);
    expect(slowTargets(estimates)).toEqual(['one']);
    noteAll(26);
    noteAll(26);
    expect(slowTargets(estimates)).toEqual(['one']);
    expect(slowTargets(estimates, 30_001)).toEqual([]);
  });

  test('ignores samples of another process and of targets that are unknown', () => {
    const estimates = createEstimates(['a', 'b']);
    ['c', 'd', 'e', 'f'].forEach((vm) => {
      noteSample(estimates, vm, 'one', 80, { incarnation: '2' });
      noteSample(estimates, vm, 'gone', 80);
    });
    expect(slowTargets(estimates)).toEqual([]);
  });

  test('requests in flight are added up over VMs and forgotten without further reports', () => {
    const estimates = createEstimates([]);
    const note = (vm: string, now: number): void =>
      estimates.note(vm, { samples: [], inFlight: [{ target: 'one', count: 1 }] }, now, find);
    note('a', 0);
    expect(slowTargets(estimates)).toEqual([]);
    note('b', 2_000);
    expect(estimates.view(1, 2_000, find).targets).toMatchObject([{ pace: 1, inFlight: 2 }]);
    expect(slowTargets(estimates, 2_501)).toEqual([]);
  });
});
