import type * as clockTypes from '@limpettack/clock';
import type * as journal from '@limpettack/journal';
import * as lifetime from '@limpettack/lifetime';
import * as trueMyth from 'true-myth';
import type * as wire from '@limpettack/wire';
import * as messages from './messages.js';
import * as programIds from './programIds.js';
import * as records from './records.js';
import type { JournalBody, Outcome, RecordedAnswer, ShardState } from './Types.js';

/** How long a home tries to tell the next one how a call ended, in milliseconds. */
const REPORT_LIMIT_MS = 8_000;
const TRY_MS = 2_000;
const PAUSE_MS = 100;

/** How a call ended at a home that no longer owns its shard. */
export interface OutcomeReport {
  readonly callKey: string;
  readonly intentId: string;
  /** Nothing says that the call was not sent and never will be. */
  readonly answer?: RecordedAnswer;
}

/** What the reports need. */
export interface OutcomeReportsOptions {
  readonly shards: journal.Journal<ShardState, JournalBody>;
  readonly network: wire.PeerNetwork;
  readonly clock: clockTypes.Clock;
}

/**
 * Lets a home that has lost a shard tell the new owner how the calls ended that it had begun. Only
 * the intent of that very home is concluded by it, whoever owns the shard.
 */
export class OutcomeReports implements lifetime.Disposable {
  private readonly store = new lifetime.DisposableStore();

  public constructor(private readonly options: OutcomeReportsOptions) {
    this.store.add(options.network.serve(messages.REPORT_OUTCOME, (report) => this.take(report)));
  }

  /** Tells the owner; false when it could not be told in time. */
  public async tell(report: OutcomeReport): Promise<boolean> {
    const { clock, network, shards } = this.options;
    const shard = shardOf(shards, report.callKey);
    const deadline = clock.now() + REPORT_LIMIT_MS;
    while (clock.now() < deadline) {
      const owner = shards.ownership(shard)?.owner;
      if (owner !== undefined) {
        const options = { timeoutMs: TRY_MS };
        const told = await network.request(owner.address, messages.REPORT_OUTCOME, report, options);
        if (told.isOk) return told.value.taken;
      }
      await clock.sleep(PAUSE_MS);
    }
    return false;
  }

  /** @inheritdoc */
  public dispose(): Promise<void> {
    return this.store.dispose();
  }

  private async take(report: {
    callKey: string;
    intentId: string;
    answer?: RecordedAnswer | undefined;
  }): Promise<Outcome<{ taken: boolean }>> {
    const { shards } = this.options;
    const { callKey, intentId, answer } = report;
    const shard = shardOf(shards, callKey);
    const known = shards.owned(shard)?.state.keyedCalls.get(callKey);
    const isConcluded = known?.intentId !== intentId || known.outcome !== undefined;
    if (shards.owned(shard) !== undefined && isConcluded) {
      return trueMyth.Result.ok({ taken: false });
    }
    const body: JournalBody =
      answer === undefined
        ? { kind: records.RECORD_KINDS.CALL_WITHDRAWN, callKey }
        : { kind: records.RECORD_KINDS.CALL_COMPLETED, callKey, answer };
    const appended = await shards.append(shard, body, { replicateInOutage: true });
    return appended.map(() => ({ taken: true }));
  }
}

function shardOf(shards: journal.Journal<ShardState, JournalBody>, callKey: string): number {
  return shards.shardOf(programIds.shardKeyOfCallKey(callKey) ?? callKey);
}
