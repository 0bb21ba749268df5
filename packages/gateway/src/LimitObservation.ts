import type * as clock from '@limpettack/clock';

/** What a response of a target stated about the target's limit. */
export interface LimitObservation {
  /** Requests per second from all VMs together; undefined if the response named no limit. */
  readonly ratePerSecond: number | undefined;
  /** On this process's own clock. */
  readonly observedAt: clock.Milliseconds;
}

/** The later of two observations. */
export function newer(left: LimitObservation, right: LimitObservation): LimitObservation {
  return right.observedAt > left.observedAt ? right : left;
}
