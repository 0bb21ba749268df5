import type * as clock from '@limpettack/clock';
import type * as errors from '@limpettack/errors';
import type * as lifetime from '@limpettack/lifetime';
import type * as trueMyth from 'true-myth';

/** A request that asks to be admitted. */
export interface AdmissionRequest {
  /** Unique; the same id asked again gets the same answer. */
  readonly requestId: string;
  readonly workspace: string;
  /** How long the answer may take, in milliseconds. */
  readonly timeoutMs: clock.Milliseconds;
}

/** Admits requests within each workspace's rate and burst, counted over all VMs together. */
export interface Admission extends lifetime.Disposable {
  /** Faults: `rate-limited` with the time to come back; `home-unavailable`, not run. */
  admit(request: AdmissionRequest): Promise<trueMyth.Result<void, errors.Fault>>;
}
