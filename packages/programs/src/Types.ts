import type * as clock from '@limpettack/clock';
import type * as configuration from '@limpettack/configuration';
import type * as errors from '@limpettack/errors';
import type * as scheduling from '@limpettack/scheduling';
import type * as targets from '@limpettack/targets';
import type * as trueMyth from 'true-myth';
import type * as zod from 'zod';
import type * as messages from './messages.js';
import type * as records from './records.js';

/** A record in a journal shard. */
export type JournalBody = zod.infer<typeof records.JOURNAL_BODY>;

/** A number of generated tokens and a number of calls. */
export type Amount = zod.infer<typeof records.AMOUNT>;

/** A turn as stored in the journal. */
export type RecordedTurn = zod.infer<typeof records.RECORDED_TURN>;

/** A response as stored in the journal. */
export type RecordedResponse = zod.infer<typeof records.RECORDED_RESPONSE>;

/** One message of a chat. */
export type ChatMessage = zod.infer<typeof records.CHAT_MESSAGE>;

/** How an operator can resolve a call whose outcome is unknown. */
export type Resolution = (typeof records.RESOLUTIONS)[keyof typeof records.RESOLUTIONS];

/** The maximum tokens, calls and wall time of a program. */
export type Budget = zod.infer<typeof configuration.BUDGET>;

/** The state of a program, derived from its records. Only the fold changes it. */
export interface ProgramState {
  readonly program: string;
  readonly workspace: string | undefined;
  readonly route: string;
  readonly parent: string | undefined;
  readonly budget: Budget;
  /** Time of the opening, on this process's clock. */
  readonly openedAt: clock.Milliseconds;
  spent: Amount;
  /** The amount that a journaled record reserves. Calls may use only this part of the budget. */
  reserved: Amount;
  readonly turns: RecordedTurn[];
  /** Targets that hold engine memory for the program. */
  readonly holdings: Set<string>;
  ended: string | undefined;
  /** False when earlier records of the program could not be read. */
  complete: boolean;
  /** The lowest offset of the records that the program's state depends on. */
  oldestOffset: number;
}

/** The state of an at-most-once call, derived from its records. Only the fold changes it. */
export interface KeyedCall {
  readonly callKey: string;
  readonly intentId: string;
  readonly requestDigest: string;
  readonly workspace: string | undefined;
  readonly route: string;
  readonly program: string | undefined;
  readonly turn: number | undefined;
  readonly target: string;
  readonly idempotencyKey: string;
  /** Undefined while the outcome is not known. */
  outcome: Resolution | undefined;
  response: RecordedResponse | undefined;
  oldestOffset: number;
}

/** The state that is derived from all records of one shard. */
export interface ShardState {
  /** Incarnation of the process with the latest valid claim. */
  ownerIncarnation: string | undefined;
  readonly programs: Map<string, ProgramState>;
  readonly keyedCalls: Map<string, KeyedCall>;
  readonly quarantined: Set<string>;
}

/** A call as an entry sends it to the home. */
export type CallRequest = zod.infer<typeof messages.CALL_REQUEST>;

/** An item of the response stream of a call. */
export type CallItem = zod.infer<typeof messages.CALL_ITEM>;

/** A program as shown to callers and operators. */
export type ProgramView = zod.infer<typeof messages.PROGRAM_VIEW>;

/** A call with an unknown outcome, as shown to operators. */
export type InDoubtCall = zod.infer<typeof messages.IN_DOUBT_CALL>;

/** A result whose error is a fault. */
export type FaultResult<Value> = trueMyth.Result<Value, errors.Fault>;

/** Records which requests crash targets. Implemented outside this package. */
export interface CrashRecord {
  isQuarantined(fingerprint: string): boolean;
  /** Records that a target crashed while it ran the request. */
  noteCrash(fingerprint: string, target: string, sentAt: clock.Milliseconds): void;
  /** Records that a target completed the request. */
  noteCompleted(fingerprint: string): void;
}

/**
 * Releases engine memory, retrying until the engine acknowledges. Implemented outside this package.
 */
export interface MemoryRelease {
  /** Resolves when the target has acknowledged the release or is no longer in any pool. */
  release(target: string, program: string): Promise<void>;
}

/** A call that a home runs. */
export interface RunningCall {
  readonly request: CallRequest;
  readonly callId: string;
  readonly shard: number;
  readonly route: configuration.Route;
  readonly pool: configuration.Pool;
  /** Absent for a call outside a program. */
  readonly program: ProgramState | undefined;
  /** 0 for a call outside a program. */
  readonly turn: number;
  /** Absolute time on this process's clock. */
  readonly deadline: clock.Milliseconds;
  readonly signal: AbortSignal;
}

/** Dependencies of the classes that send calls to targets. */
export interface DispatchDependencies {
  readonly scheduler: scheduling.Scheduler;
  readonly client: targets.TargetClient;
  readonly directory: targets.TargetDirectory;
  readonly crashes: CrashRecord;
  readonly retries: targets.RetryBudget;
  readonly clock: clock.Clock;
  /** Returns a random number between 0 and 1, for jitter. */
  readonly random: () => number;
}
