import type * as clock from '@limpettack/clock';
import * as trueMyth from 'true-myth';
import * as undici from 'undici';
import type { Sample } from './Types.js';
import * as parseMetrics from './parseMetrics.js';

const METRICS_PATH = '/metrics';

const METRIC_PREFIX = 'limpettack_';

const START_TIME_METRIC = 'process_start_time_seconds';

const TIMEOUT_MS = 5_000;

const STATUS_OK = 200;

/** Reads the metrics of a VM. A failed reading results in a sample with the error. */
export async function scrapeVm(vm: string, time: clock.Clock): Promise<Sample> {
  const text = await trueMyth.task.fromPromise(readMetrics(vm), String);
  const at = time.timeOfDay();
  if (text.isErr) return { at, vm, series: [], error: text.error };
  const series = parseMetrics.parseMetrics(text.value);
  const startedAt = series.find(({ name }) => name === START_TIME_METRIC)?.value;
  return {
    at,
    vm,
    ...(startedAt === undefined ? {} : { startedAt }),
    series: series.filter(({ name }) => name.startsWith(METRIC_PREFIX)),
  };
}

async function readMetrics(vm: string): Promise<string> {
  const response = await undici.request(new URL(METRICS_PATH, vm), {
    headersTimeout: TIMEOUT_MS,
    bodyTimeout: TIMEOUT_MS,
  });
  const text = await response.body.text();
  if (response.statusCode !== STATUS_OK) throw new Error(`status ${response.statusCode}`);
  return text;
}
