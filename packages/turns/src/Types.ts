import type * as clock from '@limpettack/clock';
import type * as errors from '@limpettack/errors';
import type * as trueMyth from 'true-myth';

/** A turn that has ended, as it is kept. */
export interface Turn {
  /** The turn's request. */
  readonly id: string;
  /** The turn that it went on from. */
  readonly previous?: string | undefined;
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
}

/** The kept turns of all programs. */
export interface TurnStore {
  /**
   * Returns the history up to a turn, the oldest content first. Faults, all not run:
   * `turn-unknown` only when it is certain, otherwise `log-unavailable`.
   */
  history(
    turn: string,
    workspace: string,
    hints: TurnHints,
  ): Promise<trueMyth.Result<readonly Uint8Array[], errors.Fault>>;

  /** Keeps a turn. Resolves when the log holds it, or with `log-unavailable` after the time. */
  keep(turn: Turn, timeoutMs: clock.Milliseconds): Promise<trueMyth.Result<void, errors.Fault>>;
}
