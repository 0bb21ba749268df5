import type { Increase, Sample, Series } from './Types.js';

/** Computes the increases of counters between samples; a restart of a VM resets its counters. */
export function computeIncreases(samples: readonly Sample[]): readonly Increase[] {
  const latest = new Map<string, Sample>();
  return samples.flatMap((sample) => {
    if (sample.error !== undefined) return [];
    const previous = latest.get(sample.vm);
    latest.set(sample.vm, sample);
    // The time of the events before the first sample of a VM is unknown.
    return previous ? [increaseBetween(previous, sample)] : [];
  });
}

function increaseBetween(before: Sample, after: Sample): Increase {
  const values = new Map(before.series.map((series) => [keyOf(series), series.value]));
  const hasRestarted =
    before.startedAt !== after.startedAt ||
    after.series.some((series) => series.value < (values.get(keyOf(series)) ?? 0));
  const series = after.series
    .map((entry) => {
      const start = hasRestarted ? 0 : (values.get(keyOf(entry)) ?? 0);
      return { ...entry, value: entry.value - start };
    })
    .filter((entry) => entry.value > 0);
  return { at: after.at, vm: after.vm, series };
}

function keyOf(series: Series): string {
  return `${series.name} ${JSON.stringify(series.labels)}`;
}
