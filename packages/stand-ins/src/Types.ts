import type * as zod from 'zod';

import type * as outcomes from './Outcomes.js';
import type * as schemas from './schemas.js';

/** Settings of the simulated platform. */
export type PlatformSettings = zod.infer<typeof schemas.PLATFORM_SETTINGS>;

/** Faults of the simulated platform. */
export type PlatformFaults = zod.infer<typeof schemas.PLATFORM_FAULTS>;

/** Partial update of the faults of the platform. */
export type PlatformFaultChanges = zod.infer<typeof schemas.PLATFORM_FAULT_CHANGES>;

/** Settings of the simulated engine. */
export type EngineSettings = zod.infer<typeof schemas.ENGINE_SETTINGS>;

/** Settings of the simulated plain service. */
export type ServiceSettings = zod.infer<typeof schemas.SERVICE_SETTINGS>;

/** Faults of a simulated target. */
export type TargetFaults = zod.infer<typeof schemas.TARGET_FAULTS>;

/** Partial update of the faults of a target. */
export type TargetFaultChanges = zod.infer<typeof schemas.TARGET_FAULT_CHANGES>;

/** Entry of the platform's list of VMs. */
export type VmEntry = zod.infer<typeof schemas.VM_ENTRY>;

/** Outcome of a request to a target. */
export type Outcome = (typeof outcomes.OUTCOMES)[keyof typeof outcomes.OUTCOMES];

/** Journal entry of a request to a target. */
export interface JournalEntry {
  readonly sequence: number;
  readonly callId: string | undefined;
  readonly program: string | undefined;
  readonly workspaceField: string | undefined;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
  readonly body: string;
  /** Arrival time by the clock of the target's process, in milliseconds. */
  readonly startedAtMs: number;
  /** Undefined, like the outcome, while the request is being handled. */
  readonly finishedAtMs: number | undefined;
  readonly outcome: Outcome | undefined;
}
