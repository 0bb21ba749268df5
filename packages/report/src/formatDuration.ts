const UNITS = [
  ['d', 86_400_000],
  ['h', 3_600_000],
  ['min', 60_000],
  ['s', 1_000],
] as const;

/** Formats a duration in milliseconds with the largest unit that gives a whole number. */
export function formatDuration(spanMs: number): string {
  const unit = UNITS.find(([, length]) => spanMs % length === 0);
  return unit ? `${spanMs / unit[1]} ${unit[0]}` : `${spanMs} ms`;
}
