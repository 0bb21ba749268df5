import type * as clockTypes from '@limpettack/clock';
import type * as journal from '@limpettack/journal';
import * as lifetime from '@limpettack/lifetime';
import * as trueMyth from 'true-myth';
import type * as wire from '@limpettack/wire';
import * as messages from './messages.js';
import * as programIds from './programIds.js';
import * as records from './records.js';
import type { JournalBody, FaultResult, RecordedResponse, ShardState } from './Types.js';

/** Maximum time for reporting an outcome to the new owner, in milliseconds. */
const REPORT_TIMEOUT_MS = 8_000;
const REQUEST_TIMEOUT_MS = 2_000;
const RETRY_INTERVAL_MS = 100;

/** The outcome of a call at a home that no longer owns the call's shard. */
export interface OutcomeReport {
  readonly callKey: string;
  readonly intentId: string;
  /** Absent if the call was not sent and never will be. */
  readonly answer?: RecordedResponse;
}

/** Dependencies of the reports. */
export interface OutcomeReportsOptions {
  readonly shards: journal.Journal<ShardState, JournalBody>;
  readonly network: wire.PeerNetwork;
  readonly clock: clockTypes.Clock;
}

/**
 * Reports the outcomes of calls that this home started to the new owner of their shard, and records
 * the reports of other homes. A report concludes only the intent that it names, whichever process
 * owns the shard.
 */
export class OutcomeReports implements lifetime.Disposable {
  private readonly store = new lifetime.DisposableStore();

  public constructor(private readonly options: OutcomeReportsOptions) {
    this.store.add(
      options.network.serve(messages.REPORT_OUTCOME, (report) => this.recordReport(report)),
    );
  }

  /**
   * Reports an outcome to the current owner of the shard. Resolves with false when the owner
   * rejects the report or cannot be reached in time.
   */
  public async report(report: OutcomeReport): Promise<boolean> {
    const { clock, network, shards } = this.options;
    const shard = shardOf(shards, report.callKey);
    const deadline = clock.now() + REPORT_TIMEOUT_MS;
    while (clock.now() < deadline) {
      const owner = shards.ownership(shard)?.owner;
      if (owner !== undefined) {
        const options = { timeoutMs: REQUEST_TIMEOUT_MS };
        const response = await network.request(
          owner.address,
          messages.REPORT_OUTCOME,
          report,
          options,
        );
        if (response.isOk) return response.value.taken;
      }
      await clock.sleep(RETRY_INTERVAL_MS);
    }
    return false;
  }

  /** @inheritdoc */
  public dispose(): Promise<void> {
    return this.store.dispose();
  }

  private async recordReport(report: {
    callKey: string;
    intentId: string;
    answer?: RecordedResponse | undefined;
  }): Promise<FaultResult<{ taken: boolean }>> {
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
