import type * as zod from 'zod';

import type * as outcomes from './Outcomes.js';
import type * as schemas from './schemas.js';

/** Settings of the platform stand-in. */
export type PlatformSettings = zod.infer<typeof schemas.PLATFORM_SETTINGS>;

/** Faults of the platform stand-in. */
export type PlatformFaults = zod.infer<typeof schemas.PLATFORM_FAULTS>;

/** A change of some faults of the platform. */
export type PlatformFaultChanges = zod.infer<typeof schemas.PLATFORM_FAULT_CHANGES>;

/** Settings of the engine stand-in. */
export type EngineSettings = zod.infer<typeof schemas.ENGINE_SETTINGS>;

/** Settings of the plain service stand-in. */
export type ServiceSettings = zod.infer<typeof schemas.SERVICE_SETTINGS>;

/** Faults of a target stand-in. */
export type TargetFaults = zod.infer<typeof schemas.TARGET_FAULTS>;

/** A change of some faults of a target. */
export type TargetFaultChanges = zod.infer<typeof schemas.TARGET_FAULT_CHANGES>;

/** A VM of the platform's list. */
export type VmEntry = zod.infer<typeof schemas.VM_ENTRY>;

/** How a call that a target was sent has ended. */
export type Outcome = (typeof outcomes.OUTCOMES)[keyof typeof outcomes.OUTCOMES];

/** Something that a target was sent. */
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
  /** By the clock of the target's process, in milliseconds. */
  readonly startedAtMs: number;
  readonly finishedAtMs: number | undefined;
  readonly outcome: Outcome | undefined;
}
