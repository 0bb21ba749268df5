import type * as clockTypes from '@limpettack/clock';
import type * as journal from '@limpettack/journal';
import * as lifetime from '@limpettack/lifetime';
import * as programs from '@limpettack/programs';
import * as targets from '@limpettack/targets';

/** Time in which entries may take up the answers of an earlier home before they are cancelled. */
const RESUME_GRACE_MS = 3_000;

const ATTEMPTS = 5;

/** What the canceller needs. */
export interface OrphanedCallsOptions {
  readonly client: targets.TargetClient;
  readonly engines: () => readonly string[];
  /** Whether a call of an earlier epoch goes on here. */
  readonly isResumed: (callId: string) => boolean;
  readonly clock: clockTypes.Clock;
}

/** Cancels what an earlier owner of a shard left running on the engines. */
export class OrphanedCalls implements lifetime.Disposable {
  private readonly controller = new AbortController();

  public constructor(private readonly options: OrphanedCallsOptions) {}

  /** Cancels the calls of a shard that were started under an earlier epoch. */
  public async cancel(ownership: journal.Ownership): Promise<void> {
    const { client, clock, engines, isResumed } = this.options;
    const { signal } = this.controller;
    if (ownership.epoch <= 1) return;
    await clock.sleep(RESUME_GRACE_MS, signal);
    if (signal.aborted) return;
    await targets.cancelEarlier(programs.fencingScope(ownership.shard), ownership.epoch, {
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
