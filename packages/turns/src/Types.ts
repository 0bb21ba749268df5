import type * as clock from '@limpettack/clock';
import type * as errors from '@limpettack/errors';
import type * as trueMyth from 'true-myth';
import type * as turnRecords from './turnRecords.js';

/** A turn that has ended, as it is kept. */
export interface Turn {
  /** The turn's request. */
  readonly id: string;
  /** The turn that it went on from. */
  readonly previous?: string | undefined;
  /** The whole chain up to that turn, as `history` returned it. */
  readonly earlier?: History['turns'] | undefined;
  readonly workspace: string;
  /** What the turn adds to the history: its input, then what was generated. */
  readonly content: Uint8Array;
  /** How long the turn has to be kept, counted from the end of its answer. */
  readonly retentionMs: clock.Milliseconds;
}

/** Where to look for a turn that is not at hand. */
export interface TurnHints {
  /** Where the process is that wrote the turn, if that is known. */
  readonly writer?: string | undefined;
  /** How long the turn that goes on from it will be kept; the chain is kept on until it ends. */
  readonly retentionMs?: clock.Milliseconds | undefined;
  /** How long that turn may run at most. */
  readonly mostRunMs?: clock.Milliseconds | undefined;
}

/** A chain of turns. */
export interface History {
  /** What the turns hold, the oldest first. */
  readonly contents: readonly Uint8Array[];
  /** The turns themselves, the newest first. */
  readonly turns: readonly turnRecords.EarlierTurn[];
}

/** The kept turns of all programs. */
export interface TurnStore {
  /**
   * Returns the history up to a turn. Faults, all not run:
   * `turn-unknown` only when it is certain, otherwise `log-unavailable`.
   */
  history(
    turn: string,
    workspace: string,
    hints: TurnHints,
  ): Promise<trueMyth.Result<History, errors.Fault>>;

  /**
   * Keeps a turn, and its chain for as long. Resolves when the log holds the turn, or with
   * `log-unavailable` after the time; nothing waits for what keeps the chain.
   */
  keep(turn: Turn, timeoutMs: clock.Milliseconds): Promise<trueMyth.Result<void, errors.Fault>>;
}
