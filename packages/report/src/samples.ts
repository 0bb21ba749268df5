import * as zod from 'zod';

/** A time series with its value. */
export const SERIES = zod.strictObject({
  name: zod.string(),
  labels: zod.record(zod.string(), zod.string()),
  value: zod.number(),
});

/** A line of a sample file. */
export const SAMPLE = zod.strictObject({
  /** Time of the sample by the collector's clock, in milliseconds since the epoch. */
  at: zod.number(),
  /** URL of the operators' port. */
  vm: zod.string(),
  /** Start time of the process; only compared for equality, to detect restarts. */
  startedAt: zod.number().optional(),
  series: zod.array(SERIES),
  /** Error message of a failed reading. */
  error: zod.string().optional(),
});
