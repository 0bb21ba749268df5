import type * as clock from '@limpettack/clock';

/** The limit of one workspace over the whole fleet. */
export interface WorkspaceLimit {
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** Finds the limit of a workspace; nothing when it has none. */
export type LimitLookup = (workspace: string) => WorkspaceLimit | undefined;

/** What is asked to be admitted. */
export interface AdmissionRequest {
  readonly workspace: string;
  /** The program that the request belongs to. */
  readonly program: string | undefined;
  /** Whether the request may be the first of its program. */
  readonly mayBegin: boolean;
  /** The longest that the request may wait for the limit. */
  readonly patienceMs: clock.Milliseconds;
}

/** Whether a request may go on. */
export type Admission =
  | { readonly isAdmitted: true }
  | { readonly isAdmitted: false; readonly retryAfterMs: clock.Milliseconds };
