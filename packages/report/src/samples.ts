import * as zod from 'zod';

/** A time series with its value. */
export const SERIES = zod.strictObject({
  name: zod.string(),
  labels: zod.record(zod.string(), zod.string()),
  value: zod.number(),
});

/** A line of a file of samples. */
export const SAMPLE = zod.strictObject({
  /** When it was taken, by the collector's time of day, in milliseconds since the epoch. */
  at: zod.number(),
  /** URL of the operators' port. */
  vm: zod.string(),
  /** Changes with each start of the process; only compared for being equal. */
  startedAt: zod.number().optional(),
  series: zod.array(SERIES),
  /** Why nothing was read. */
  error: zod.string().optional(),
});
