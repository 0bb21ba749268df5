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

/** Generated tokens and calls. */
export type Amount = zod.infer<typeof records.AMOUNT>;

/** A turn as the journal holds it. */
export type RecordedTurn = zod.infer<typeof records.RECORDED_TURN>;

/** An answer as the journal holds it. */
export type RecordedAnswer = zod.infer<typeof records.RECORDED_ANSWER>;

/** One message of a chat. */
export type ChatMessage = zod.infer<typeof records.CHAT_MESSAGE>;

/** How an operator resolves a call. */
export type Resolution = (typeof records.RESOLUTIONS)[keyof typeof records.RESOLUTIONS];

/** What a program may use. */
export type Budget = zod.infer<typeof configuration.BUDGET>;

/** A program as the records make it. Only the fold changes it. */
export interface ProgramState {
  readonly program: string;
  readonly workspace: string | undefined;
  readonly route: string;
  readonly parent: string | undefined;
  readonly budget: Budget;
  /** Reading of this process's clock at the opening. */
  readonly openedAt: clock.Milliseconds;
  spent: Amount;
  /** Set aside by a journaled record; the only part of the budget that calls may use. */
  reserved: Amount;
  readonly turns: RecordedTurn[];
  /** Targets that hold engine memory for the program. */
  readonly holdings: Set<string>;
  ended: string | undefined;
  /** False when earlier records of the program could not be read. */
  complete: boolean;
  /** The first offset that the program's state still rests on. */
  oldestOffset: number;
}

/** A call that runs at most once, as the records make it. Only the fold changes it. */
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
  /** Nothing while the outcome is not known. */
  outcome: Resolution | undefined;
  answer: RecordedAnswer | undefined;
  oldestOffset: number;
}

/** All that the records of one shard make. */
export interface ShardState {
  /** Incarnation of the process whose claim was the last valid one. */
  ownerIncarnation: string | undefined;
  readonly programs: Map<string, ProgramState>;
  readonly keyedCalls: Map<string, KeyedCall>;
  readonly quarantined: Set<string>;
}

/** A call as an entry sends it to the home. */
export type CallRequest = zod.infer<typeof messages.CALL_REQUEST>;

/** A piece of a call's answer. */
export type CallItem = zod.infer<typeof messages.CALL_ITEM>;

/** A program as callers and operators see it. */
export type ProgramView = zod.infer<typeof messages.PROGRAM_VIEW>;

/** A call whose outcome is not known, as operators see it. */
export type InDoubtCall = zod.infer<typeof messages.IN_DOUBT_CALL>;

/** A result with a fault. */
export type Outcome<Value> = trueMyth.Result<Value, errors.Fault>;

/** Remembers which requests targets died of. Implemented by the targets package. */
export interface CrashRecord {
  isQuarantined(fingerprint: string): boolean;
  /** Notes that a target died while it ran the request. */
  noteDeath(fingerprint: string, target: string, sentAt: clock.Milliseconds): void;
  /** Notes that a target ran the request to its end. */
  noteCompleted(fingerprint: string): void;
}

/** Frees engine memory until the engine has acknowledged it. Implemented by the targets package. */
export interface MemoryRelease {
  /** Resolves when the target has acknowledged it or is no longer in any pool. */
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
  /** On this process's clock. */
  readonly deadline: clock.Milliseconds;
  readonly signal: AbortSignal;
}

/** What sends calls to targets. */
export interface DispatchCollaborators {
  readonly scheduler: scheduling.Scheduler;
  readonly client: targets.TargetClient;
  readonly directory: targets.TargetDirectory;
  readonly crashes: CrashRecord;
  readonly retries: targets.RetryBudget;
  readonly clock: clock.Clock;
  /** Between 0 and 1, for jitter. */
  readonly random: () => number;
}
