import type * as clock from '@limpettack/clock';
import type {
  BurnLine,
  BurnReport,
  Increase,
  Objective,
  ObjectiveReport,
  ObjectiveStatus,
  Objectives,
  Sample,
  WindowBurn,
} from './Types.js';
import * as countEvents from './countEvents.js';
import * as eventSeries from './EventSeries.js';
import * as computeIncreases from './computeIncreases.js';
import * as objectiveKinds from './objectives.js';

const PLOT_POINTS = 120;

/** Period that a report covers, in milliseconds since the epoch. */
interface TimeRange {
  readonly from: clock.Milliseconds;
  readonly to: clock.Milliseconds;
}

type SeriesBySubject = ReadonlyMap<string, eventSeries.EventSeries>;

/** Computes the burn rates and the status of all objectives. */
export function createBurnReport(objectives: Objectives, recorded: readonly Sample[]): BurnReport {
  // VMs that are read concurrently respond in any order.
  const samples = [...recorded].sort((left, right) => left.at - right.at);
  const timeRange = { from: samples[0]?.at ?? 0, to: samples.at(-1)?.at ?? 0 };
  const increases = computeIncreases.computeIncreases(samples);
  return {
    service: objectives.service,
    ...timeRange,
    vms: [...new Set(samples.map(({ vm }) => vm))],
    failedSamples: samples.filter(({ error }) => error !== undefined).length,
    objectives: objectives.objectives.map((objective) =>
      reportObjective(objective, objectives, increases, timeRange),
    ),
  };
}

function reportObjective(
  objective: Objective,
  { windowsMs, periodMs }: Objectives,
  increases: readonly Increase[],
  timeRange: TimeRange,
): ObjectiveReport {
  const series = seriesBySubject(objective, increases);
  const windows = windowsMs.map((spanMs) => burnAt(objective, series, timeRange.to, spanMs));
  const period = burnAt(objective, series, timeRange.to, periodMs);
  const budgetLeft = period.burnRate === undefined ? undefined : 1 - period.burnRate;
  return {
    name: objective.name,
    description: describeObjective(objective),
    target: objective.target,
    status: statusOf(windows, budgetLeft),
    windows,
    period,
    ...(budgetLeft === undefined ? {} : { budgetLeft }),
    lines: windowsMs.map((spanMs) => createLine(objective, series, timeRange, spanMs)),
  };
}

function seriesBySubject(objective: Objective, increases: readonly Increase[]): SeriesBySubject {
  const points = countEvents.countEvents(objective, increases);
  return new Map(
    [...points].map(([subject, list]) => [subject, new eventSeries.EventSeries(list)]),
  );
}

/** Burn over a window; that of the worst workspace for objectives evaluated by workspace. */
function burnAt(
  objective: Objective,
  series: SeriesBySubject,
  at: clock.Milliseconds,
  spanMs: clock.Milliseconds,
): WindowBurn {
  const byWorkspace = objective.kind === objectiveKinds.OBJECTIVE_KINDS.WORST_WORKSPACE;
  const minimum = byWorkspace ? objective.minimumCalls : 1;
  const burns = [...series].map(([subject, list]) => {
    const count = list.between(at - spanMs, at);
    const burnRate = burnRateOf(count, objective.target);
    return { spanMs, ...count, burnRate, ...(byWorkspace ? { subject } : {}) };
  });
  return burns
    .filter(({ total }) => total >= minimum)
    .reduce<WindowBurn>((worst, burn) => (burn.burnRate > (worst.burnRate ?? -1) ? burn : worst), {
      spanMs,
      good: 0,
      total: 0,
    });
}

function burnRateOf({ good, total }: { good: number; total: number }, target: number): number {
  return (total - good) / total / (1 - target);
}

function statusOf(windows: readonly WindowBurn[], budgetLeft: number | undefined): ObjectiveStatus {
  if (budgetLeft === undefined) return 'no-data';
  if (budgetLeft < 0) return 'exhausted';
  return windows.some(({ burnRate = 0 }) => burnRate > 1) ? 'burning' : 'met';
}

function createLine(
  objective: Objective,
  series: SeriesBySubject,
  { from, to }: TimeRange,
  spanMs: clock.Milliseconds,
): BurnLine {
  const times = Array.from(
    { length: PLOT_POINTS + 1 },
    (_, index) => from + ((to - from) * index) / PLOT_POINTS,
  );
  const points = times.flatMap((at) => {
    const { burnRate } = burnAt(objective, series, at, spanMs);
    return burnRate === undefined ? [] : [{ at, burnRate }];
  });
  return { spanMs, points };
}

function describeObjective(objective: Objective): string {
  const share = `${Number((objective.target * 100).toFixed(3))} in 100`;
  switch (objective.kind) {
    case 'latency': {
      const route = objective.route === undefined ? '' : ` on route ${objective.route}`;
      return `${share} of ${objective.metric} times${route} at most ${objective.thresholdMs} ms`;
    }
    case 'refusals':
      return `${share} of requests within rate not refused`;
    default:
      return `${share} of the calls of each workspace at most ${objective.thresholdMs} ms`;
  }
}
