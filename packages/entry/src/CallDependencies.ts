import type * as clockTypes from '@limpettack/clock';
import type * as metrics from '@limpettack/metrics';
import type * as callGate from './CallGate.js';
import type { EntryLimits, Homes } from './Types.js';

/** Dependencies and limits of the handlers of model and service calls. */
export interface CallDependencies {
  readonly gate: callGate.CallGate;
  readonly homes: Homes;
  readonly limits: EntryLimits;
  readonly metrics: metrics.Metrics;
  readonly clock: clockTypes.Clock;
}
