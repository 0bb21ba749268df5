import type * as clockTypes from '@limpettack/clock';
import type * as journal from '@limpettack/journal';
import * as lifetime from '@limpettack/lifetime';
import * as programs from '@limpettack/programs';
import * as targets from '@limpettack/targets';

/** Time in which entries may resume calls of an earlier home before they are cancelled. */
const RESUME_GRACE_MS = 3_000;

/** Maximum attempts to cancel the calls on an engine. */
const ATTEMPTS = 5;

/** Collaborators of an `OrphanedCallCanceller`. */
export interface OrphanedCallCancellerOptions {
  readonly client: targets.TargetClient;
  /** Names of the engines whose calls are cancelled. */
  readonly engines: () => readonly string[];
  /** Whether this process has resumed a call of an earlier epoch. */
  readonly isResumed: (callId: string) => boolean;
  readonly clock: clockTypes.Clock;
}

/** Cancels calls that an earlier owner of a shard left running on the engines. */
export class OrphanedCallCanceller implements lifetime.Disposable {
  private readonly controller = new AbortController();

  public constructor(private readonly options: OrphanedCallCancellerOptions) {}

  /** Cancels the calls of a shard from earlier epochs, except those that were resumed here. */
  public async cancel(ownership: journal.Ownership): Promise<void> {
    const { client, clock, engines, isResumed } = this.options;
    const { signal } = this.controller;
    if (ownership.epoch <= 1) return;
    await clock.sleep(RESUME_GRACE_MS, signal);
    if (signal.aborted) return;
    await targets.cancelSupersededCalls(programs.fencingScope(ownership.shard), ownership.epoch, {
      client,
      engines: engines(),
      clock,
      isKept: isResumed,
      attempts: ATTEMPTS,
      signal,
    });
  }

  /** @inheritdoc */
  public dispose(): void {
    this.controller.abort();
  }
}
