import * as jestGlobals from '@jest/globals';
import type { Objectives, Sample, Series } from './Types.js';
import * as createBurnReport from './createBurnReport.js';
import * as formatHtml from './formatHtml.js';
import * as objectives from './objectives.js';

const { describe, expect, test } = jestGlobals;

const MINUTE_MS = 60_000;

function createObjectives(...list: readonly unknown[]): Objectives {
  return objectives.OBJECTIVES.parse({
    service: 'quito <desk>',
    windowsMs: [MINUTE_MS, 10 * MINUTE_MS],
    objectives: list,
  });
}

const FIRST_TOKEN = {
  name: 'first token',
  kind: 'latency',
  metric: 'first-token',
  thresholdMs: 480,
  target: 0.95,
};

function createHistogram(
  metric: string,
  labels: Record<string, string>,
  good: number,
  total: number,
): Series[] {
  const name = `limpettack_${metric}_seconds`;
  return [
    { name: `${name}_bucket`, labels: { ...labels, le: '0.48' }, value: good },
    { name: `${name}_bucket`, labels: { ...labels, le: '0.75' }, value: total },
    { name: `${name}_bucket`, labels: { ...labels, le: '+Inf' }, value: total },
    { name: `${name}_count`, labels, value: total },
  ];
}

function createSample(minute: number, series: Series[], startedAt = 1, vm = 'vm-1'): Sample {
  return { at: minute * MINUTE_MS, vm, startedAt, series };
}

function firstTokens(good: number, total: number): Series[] {
  return createHistogram('first_token', { route: 'lens-desk' }, good, total);
}

describe('createBurnReport', () => {
  test('reports burn rates by window and the remaining budget, across a restart of the VM', () => {
    const samples = [
      createSample(0, firstTokens(1_000, 2_000)),
      createSample(1, firstTokens(1_100, 2_100)),
      // The process has restarted, and has already counted more than the previous one.
      createSample(2, firstTokens(2_890, 2_900), 2),
      createSample(3, firstTokens(2_980, 3_000), 2),
    ];
    const report = createBurnReport.createBurnReport(createObjectives(FIRST_TOKEN), samples);
    const [objective] = report.objectives;
    expect(objective?.windows[0]).toMatchObject({ good: 90, total: 100 });
    expect(objective?.windows[0]?.burnRate).toBeCloseTo(2);
    expect(objective?.windows[1]).toMatchObject({ good: 3_080, total: 3_100 });
    expect(objective?.budgetLeft).toBeCloseTo(1 - 20 / 3_100 / 0.05);
    expect(objective?.status).toBe('burning');
  });

  test('counts no events of a VM that could not be read, and reports the failed sample', () => {
    const samples: Sample[] = [
      createSample(0, firstTokens(0, 0)),
      { at: MINUTE_MS, vm: 'vm-1', series: [], error: 'refused' },
      createSample(2, firstTokens(10, 10)),
      createSample(2, firstTokens(5_000, 9_000), 1, 'vm-2'),
    ];
    const report = createBurnReport.createBurnReport(createObjectives(FIRST_TOKEN), samples);
    expect(report).toMatchObject({ failedSamples: 1, vms: ['vm-1', 'vm-2'] });
    expect(report.objectives[0]).toMatchObject({ status: 'met', period: { total: 10 } });
  });

  test('reports the worst-served workspace', () => {
    const calls = (good: number, workspace: string, total: number) =>
      createHistogram('call', { route: 'a', workspace_class: workspace }, good, total);
    const samples = [
      createSample(0, []),
      createSample(1, [
        ...calls(99, 'andes', 100),
        ...calls(80, 'costa', 100),
        ...calls(0, 'one', 1),
      ]),
    ];
    const objective = {
      name: 'worst',
      kind: 'worst-workspace',
      thresholdMs: 480,
      target: 0.9,
    };
    const report = createBurnReport.createBurnReport(createObjectives(objective), samples);
    expect(report.objectives[0]?.windows[0]).toMatchObject({ subject: 'costa', good: 80 });
    expect(report.objectives[0]?.status).toBe('exhausted');
  });

  test('counts refusals of requests within the rate limit, not of those above it', () => {
    const count = (name: string, labels: Record<string, string>, value: number) => ({
      name: `limpettack_${name}_total`,
      labels,
      value,
    });
    const samples = [
      createSample(0, []),
      createSample(1, [
        count('admissions', { workspace: 'andes', answer: 'admitted' }, 990),
        count('admissions', { workspace: 'andes', answer: 'refused' }, 500),
        count('refusals', { kind: 'rate-limited' }, 500),
        count('refusals', { kind: 'overloaded' }, 9),
      ]),
    ];
    const objective = { name: 'refusals', kind: 'refusals', target: 0.999 };
    const report = createBurnReport.createBurnReport(createObjectives(objective), samples);
    expect(report.objectives[0]?.windows[0]).toMatchObject({ good: 981, total: 990 });
  });

  test('writes a self-contained page with escaped names', () => {
    const samples = [createSample(0, []), createSample(1, firstTokens(9, 10))];
    const report = createBurnReport.createBurnReport(createObjectives(FIRST_TOKEN), samples);
    const page = formatHtml.formatHtml(report);
    expect(page).toContain('<polyline');
    expect(page).toContain('quito &lt;desk&gt;');
    expect(page).not.toMatch(/<desk>|NaN|Infinity|https?:|src=/);
  });
});
