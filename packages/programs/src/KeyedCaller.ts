import type * as clockTypes from '@limpettack/clock';
import * as errors from '@limpettack/errors';
import type * as journal from '@limpettack/journal';
import type * as logging from '@limpettack/logging';
import * as targets from '@limpettack/targets';
import * as trueMyth from 'true-myth';
import * as ulid from 'ulid';
import * as responses from './responses.js';
import * as faults from './faults.js';
import type * as outcomeReports from './OutcomeReports.js';
import * as records from './records.js';
import type * as serviceCaller from './ServiceCaller.js';
import type { JournalBody, KeyedCall, FaultResult, RecordedResponse, ShardState } from './Types.js';

/** Maximum number of targets that are tried for a call while it has not been sent. */
const MAXIMUM_ATTEMPTS = 3;

/** Number of outcome queries to a target for one call, and the interval between them. */
const OUTCOME_QUERIES = 4;
const OUTCOME_QUERY_INTERVAL_MS = 500;

const { TARGET_FAILURES } = targets;

/** An at-most-once call that is ready to be sent. */
export interface PreparedKeyedCall {
  readonly prepared: serviceCaller.PreparedServiceCall;
  readonly callKey: string;
  readonly requestDigest: string;
  readonly idempotencyKey: string;
}

/** An intent to send a call, and the target of the call. */
interface Intent {
  readonly id: string;
  readonly target: string;
}

/** Dependencies of the keyed caller. */
export interface KeyedCallerOptions {
  readonly shards: journal.Journal<ShardState, JournalBody>;
  readonly services: serviceCaller.ServiceCaller;
  readonly client: targets.TargetClient;
  readonly reports: Pick<outcomeReports.OutcomeReports, 'report'>;
  readonly clock: clockTypes.Clock;
  readonly logger: logging.Logger;
}

/**
 * Runs calls at most once. An intent is recorded in the journal before each dispatch. Only the
 * first valid intent for a key permits a dispatch, and it permits only one, during the claim under
 * which the intent was recorded.
 */
export class KeyedCaller {
  /** Ids of this process's intents whose calls are in progress. */
  private readonly running = new Set<string>();

  /**
   * Ids of this process's intents whose append failed although they may be in the log. Their calls
   * were never sent.
   */
  private readonly undispatched = new Set<string>();

  public constructor(private readonly options: KeyedCallerOptions) {}

  /**
   * Runs the call, or returns its known outcome. Faults: see the documentation page on at-most-once
   * calls.
   */
  public async run(keyed: PreparedKeyedCall): Promise<FaultResult<RecordedResponse>> {
    const { shard } = keyed.prepared.call;
    const owned = this.options.shards.owned(shard);
    if (owned === undefined) return trueMyth.Result.err(notOwner());
    const known = owned.state.keyedCalls.get(keyed.callKey);
    return known === undefined ? this.start(keyed) : this.returnKnown(keyed, known);
  }

  /** Whether the call of an intent is in progress here, so that it is not in doubt. */
  public isRunning(intentId: string): boolean {
    return this.running.has(intentId);
  }

  /**
   * Returns the outcome of a call for which an earlier attempt recorded an intent. The call is not
   * dispatched again for that intent.
   */
  private async returnKnown(
    keyed: PreparedKeyedCall,
    known: KeyedCall,
  ): Promise<FaultResult<RecordedResponse>> {
    if (known.requestDigest !== keyed.requestDigest) {
      return trueMyth.Result.err(errors.createFault('idempotency-key-reused'));
    }
    if (known.response !== undefined) return trueMyth.Result.ok(known.response);
    if (known.outcome === records.RESOLUTIONS.RAN) return trueMyth.Result.err(resolvedAsRan());
    if (this.undispatched.has(known.intentId)) return this.restart(keyed, known.intentId);
    return this.resolveByQuery(keyed, { id: known.intentId, target: known.target });
  }

  private async start(keyed: PreparedKeyedCall): Promise<FaultResult<RecordedResponse>> {
    const excluded = new Set<string>();
    for (let count = 0; count < MAXIMUM_ATTEMPTS; count += 1) {
      const ended = await this.attempt(keyed, excluded);
      if (ended !== undefined) return ended;
    }
    return trueMyth.Result.err(errors.createFault('target-unavailable'));
  }

  /**
   * Withdraws an intent of this process and starts the call again. The append of the intent failed,
   * but the intent reached the log. It was never dispatched and never will be. Only this process
   * knows that, so only this process may withdraw it.
   */
  private async restart(
    keyed: PreparedKeyedCall,
    intentId: string,
  ): Promise<FaultResult<RecordedResponse>> {
    const withdrawn = await this.withdraw(keyed, intentId, errors.createFault('log-unavailable'));
    if (!this.isKeyFree(keyed)) return withdrawn;
    this.undispatched.delete(intentId);
    return this.start(keyed);
  }

  /**
   * Records one intent and dispatches the call once. Returns undefined when nothing was sent and
   * another target may be tried.
   */
  private async attempt(
    keyed: PreparedKeyedCall,
    excluded: Set<string>,
  ): Promise<FaultResult<RecordedResponse> | undefined> {
    if (!this.options.shards.isLogAvailable()) {
      return trueMyth.Result.err(errors.createFault('log-unavailable'));
    }
    const { services } = this.options;
    const acquired = await services.acquire(keyed.prepared, excluded);
    if (acquired.isErr) return trueMyth.Result.err(acquired.error);
    const slot = acquired.value;
    const intent: Intent = { id: ulid.ulid(), target: slot.target };
    this.running.add(intent.id);
    try {
      const intentFault = await this.recordIntent(keyed, intent);
      if (intentFault !== undefined) return trueMyth.Result.err(intentFault);
      const sent = await services.dispatch(keyed.prepared, slot);
      if (sent.isErr) return await this.withdraw(keyed, intent.id, sent.error);
      return await this.recordOutcome(keyed, intent, sent.value, excluded);
    } finally {
      this.running.delete(intent.id);
      slot.dispose();
    }
  }

  private async recordIntent(
    keyed: PreparedKeyedCall,
    intent: Intent,
  ): Promise<errors.Fault | undefined> {
    const { call } = keyed.prepared;
    const result = await this.options.shards.append(
      call.shard,
      {
        kind: records.RECORD_KINDS.CALL_INTENDED,
        callKey: keyed.callKey,
        intentId: intent.id,
        requestDigest: keyed.requestDigest,
        workspace: call.request.workspace,
        route: call.route.name,
        program: call.request.program,
        turn: call.turn > 0 ? call.turn : undefined,
        target: intent.target,
        idempotencyKey: keyed.idempotencyKey,
      },
      { replicateInOutage: false },
    );
    if (result.isOk) return undefined;
    if (result.error.details?.mayCount === true) this.undispatched.add(intent.id);
    return faults.withRunState(result.error, false);
  }

  /**
   * Records the outcome of a dispatch. Resolves with undefined when nothing was sent and another
   * target may be tried.
   */
  private async recordOutcome(
    keyed: PreparedKeyedCall,
    intent: Intent,
    answer: targets.TargetResult<targets.ServiceResponse>,
    excluded: Set<string>,
  ): Promise<FaultResult<RecordedResponse> | undefined> {
    const { id, target } = intent;
    if (answer.isOk) return this.complete(keyed, id, responses.recordServiceResponse(answer.value));
    const { kind } = answer.error;
    if (kind === TARGET_FAILURES.NOT_SENT) {
      excluded.add(target);
      const fault = errors.createFault('target-unavailable');
      const withdrawn = await this.withdraw(keyed, id, fault);
      return this.isKeyFree(keyed) ? undefined : withdrawn;
    }
    if (kind === TARGET_FAILURES.FENCED) return this.withdraw(keyed, id, notOwner());
    return this.resolveByQuery(keyed, intent);
  }

  /** Withdraws an intent for which nothing was sent, so that its key can be used again. */
  private async withdraw(
    keyed: PreparedKeyedCall,
    intentId: string,
    fault: errors.Fault,
  ): Promise<FaultResult<RecordedResponse>> {
    const { callKey } = keyed;
    const appended = await this.options.shards.append(
      keyed.prepared.call.shard,
      { kind: records.RECORD_KINDS.CALL_WITHDRAWN, callKey },
      { replicateInOutage: true },
    );
    if (isShardLost(appended)) await this.options.reports.report({ callKey, intentId });
    return trueMyth.Result.err(faults.withRunState(fault, false));
  }

  private isKeyFree(keyed: PreparedKeyedCall): boolean {
    const owned = this.options.shards.owned(keyed.prepared.call.shard);
    return owned !== undefined && !owned.state.keyedCalls.has(keyed.callKey);
  }

  private async complete(
    keyed: PreparedKeyedCall,
    intentId: string,
    answer: RecordedResponse,
  ): Promise<FaultResult<RecordedResponse>> {
    const { callKey } = keyed;
    const result = await this.options.shards.append(
      keyed.prepared.call.shard,
      { kind: records.RECORD_KINDS.CALL_COMPLETED, callKey, answer },
      { replicateInOutage: true },
    );
    // The call has run, so the caller gets the response even if its record may be lost.
    const isReported =
      isShardLost(result) && (await this.options.reports.report({ callKey, intentId, answer }));
    if (result.isErr && !isReported) {
      this.options.logger.warn('The outcome of a call could not be recorded.', {
        shard: keyed.prepared.call.shard,
      });
    }
    return trueMyth.Result.ok(answer);
  }

  /**
   * Queries the target for the outcome by idempotency key, if the pool configures a query. The call
   * is never sent again.
   */
  private async resolveByQuery(
    keyed: PreparedKeyedCall,
    { id, target }: Intent,
  ): Promise<FaultResult<RecordedResponse>> {
    const { call } = keyed.prepared;
    const queries = call.pool.outcomeQuery === undefined ? 0 : OUTCOME_QUERIES;
    for (let count = 0; count < queries && !call.signal.aborted; count += 1) {
      const { client } = this.options;
      const outcome = await client.queryOutcome(call.pool.name, target, keyed.idempotencyKey);
      if (outcome.isOk && outcome.value !== undefined) {
        return this.complete(keyed, id, responses.recordServiceResponse(outcome.value));
      }
      await this.options.clock.sleep(OUTCOME_QUERY_INTERVAL_MS, call.signal);
    }
    return trueMyth.Result.err(errors.createFault('outcome-unknown'));
  }
}

/**
 * Whether the append failed because this process no longer owns the shard. The outcome must then be
 * reported to the new owner.
 */
function isShardLost(appended: FaultResult<journal.AppendReceipt>): boolean {
  return appended.isErr && appended.error.kind === 'not-owner';
}

function notOwner(): errors.Fault {
  return errors.createFault('not-owner');
}

function resolvedAsRan(): errors.Fault {
  return errors.createFault('outcome-unknown', 'An operator has noted that the call ran.', {
    run: errors.RUN_STATES.RAN,
  });
}
