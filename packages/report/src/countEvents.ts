import type { EventCount, EventPoint, Increase, Objective, Series } from './Types.js';
import * as objectives from './objectives.js';
import * as parseMetrics from './parseMetrics.js';

const { LATENCY_METRICS, OBJECTIVE_KINDS } = objectives;

const MILLISECONDS_PER_SECOND = 1_000;

/** Tolerance for rounding when a threshold is compared with the bound of a bucket, in seconds. */
const BOUND_TOLERANCE_SECONDS = 1e-9;

const ADMITTED = 'admitted';

/** Subject of objectives that are not evaluated by workspace. */
export const ALL_SUBJECTS = '';

/** Events that an objective counts, in chronological order, by workspace or in total. */
export function countEvents(
  objective: Objective,
  increases: readonly Increase[],
): ReadonlyMap<string, readonly EventPoint[]> {
  const points = new Map<string, EventPoint[]>();
  increases.forEach((increase) => {
    countIncrease(objective, increase.series).forEach((count, subject) => {
      if (count.total === 0) return;
      const list = points.get(subject) ?? [];
      list.push({ at: increase.at, ...count });
      points.set(subject, list);
    });
  });
  return points;
}

function countIncrease(
  objective: Objective,
  series: readonly Series[],
): ReadonlyMap<string, EventCount> {
  switch (objective.kind) {
    case OBJECTIVE_KINDS.LATENCY: {
      const routeSeries = series.filter(
        ({ labels }) => objective.route === undefined || labels.route === objective.route,
      );
      const metric = LATENCY_METRICS[objective.metric];
      return new Map([
        [ALL_SUBJECTS, countWithinThreshold(routeSeries, metric, objective.thresholdMs)],
      ]);
    }
    case OBJECTIVE_KINDS.REFUSALS:
      return new Map([[ALL_SUBJECTS, countRefusals(series, new Set(objective.refusalKinds))]]);
    default:
      return countByWorkspace(series, objective.thresholdMs);
  }
}

function countByWorkspace(
  series: readonly Series[],
  thresholdMs: number,
): ReadonlyMap<string, EventCount> {
  const metric = LATENCY_METRICS.call;
  const calls = series.filter(({ name }) => name.startsWith(metric));
  const workspaces = new Set(calls.map(({ labels }) => labels.workspace_class ?? ''));
  return new Map(
    [...workspaces].map((workspace) => {
      const workspaceCalls = calls.filter(({ labels }) => labels.workspace_class === workspace);
      return [workspace, countWithinThreshold(workspaceCalls, metric, thresholdMs)];
    }),
  );
}

/** Counts events as good up to the largest bucket bound that does not exceed the threshold. */
function countWithinThreshold(
  series: readonly Series[],
  metric: string,
  thresholdMs: number,
): EventCount {
  const thresholdSeconds = thresholdMs / MILLISECONDS_PER_SECOND + BOUND_TOLERANCE_SECONDS;
  const buckets = series.filter(({ name }) => name === `${metric}_bucket`);
  const bounds = buckets.map(boundOf).filter((bound) => bound <= thresholdSeconds);
  const bound = Math.max(...bounds);
  return {
    good: sum(buckets.filter((bucket) => boundOf(bucket) === bound)),
    total: sum(series.filter(({ name }) => name === `${metric}_count`)),
  };
}

function boundOf(bucket: Series): number {
  return parseMetrics.parseNumber(bucket.labels.le ?? '');
}

function countRefusals(series: readonly Series[], kinds: ReadonlySet<string>): EventCount {
  const admitted = sum(
    series.filter(
      ({ name, labels }) => name === 'limpettack_admissions_total' && labels.answer === ADMITTED,
    ),
  );
  const refused = sum(
    series.filter(
      ({ name, labels }) => name === 'limpettack_refusals_total' && kinds.has(labels.kind ?? ''),
    ),
  );
  // A request may be refused before admission, so the total is at least each of the two numbers.
  const total = Math.max(admitted, refused);
  return { good: total - refused, total };
}

function sum(series: readonly Series[]): number {
  return series.reduce((total, { value }) => total + value, 0);
}
