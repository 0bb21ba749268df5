import type * as clock from '@limpettack/clock';

/** The rate limit of one workspace for the whole fleet. */
export interface WorkspaceLimit {
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** Returns the limit of a workspace, or undefined if it has none. */
export type LimitLookup = (workspace: string) => WorkspaceLimit | undefined;

/** A request for admission. */
export interface AdmissionRequest {
  readonly workspace: string;
  /** The program that the request belongs to. */
  readonly program: string | undefined;
  /** Whether the request may be the first of its program. */
  readonly mayStartProgram: boolean;
  /** Maximum time that the request may wait for the limit. */
  readonly maximumWaitMs: clock.Milliseconds;
}

/** Whether a request is admitted. */
export type AdmissionResult =
  | { readonly isAdmitted: true }
  | { readonly isAdmitted: false; readonly retryAfterMs: clock.Milliseconds };
