import type * as clockTypes from '@limpettack/clock';
import * as errors from '@limpettack/errors';
import type * as journal from '@limpettack/journal';
import type * as logging from '@limpettack/logging';
import * as targets from '@limpettack/targets';
import * as trueMyth from 'true-myth';
import * as ulid from 'ulid';
import * as answers from './answers.js';
import * as faults from './faults.js';
import type * as outcomeReports from './OutcomeReports.js';
import * as records from './records.js';
import type * as serviceCaller from './ServiceCaller.js';
import type { JournalBody, KeyedCall, Outcome, RecordedAnswer, ShardState } from './Types.js';

/** A call that was not sent is tried on so many targets at most. */
const MAXIMUM_ATTEMPTS = 3;

/** How often, and how far apart, a target is asked for the outcome of a call. */
const OUTCOME_QUERIES = 4;
const OUTCOME_QUERY_INTERVAL_MS = 500;

const { TARGET_FAILURES } = targets;

/** A call that runs at most once. */
export interface PreparedKeyedCall {
  readonly prepared: serviceCaller.PreparedServiceCall;
  readonly callKey: string;
  readonly requestDigest: string;
  readonly idempotencyKey: string;
}

/** An intent of this home, and the target that it is for. */
interface Intent {
  readonly id: string;
  readonly target: string;
}

/** What the caller needs. */
export interface KeyedCallerOptions {
  readonly shards: journal.Journal<ShardState, JournalBody>;
  readonly services: serviceCaller.ServiceCaller;
  readonly client: targets.TargetClient;
  readonly reports: Pick<outcomeReports.OutcomeReports, 'tell'>;
  readonly clock: clockTypes.Clock;
  readonly logger: logging.Logger;
}

/**
 * Runs calls at most once: the first valid intent for a key in the journal allows one dispatch
 * in the life of that claim, and nothing else ever does.
 */
export class KeyedCaller {
  /** Intents of this process whose calls run now. */
  private readonly running = new Set<string>();

  /** Intents of this process that were refused but may count, with nothing sent. */
  private readonly neverSent = new Set<string>();

  public constructor(private readonly options: KeyedCallerOptions) {}

  /** Runs the call, or answers what is known of it. Faults: see the at-most-once page. */
  public async run(keyed: PreparedKeyedCall): Promise<Outcome<RecordedAnswer>> {
    const { shard } = keyed.prepared.call;
    const owned = this.options.shards.owned(shard);
    if (owned === undefined) return trueMyth.Result.err(notOwner());
    const known = owned.state.keyedCalls.get(keyed.callKey);
    return known === undefined ? this.start(keyed) : this.answerKnown(keyed, known);
  }

  /** Whether the call of an intent runs here now, so that it is not in doubt. */
  public isRunning(intentId: string): boolean {
    return this.running.has(intentId);
  }

  /** Tells how an intent of an earlier attempt ended; it is never dispatched again. */
  private async answerKnown(
    keyed: PreparedKeyedCall,
    known: KeyedCall,
  ): Promise<Outcome<RecordedAnswer>> {
    if (known.requestDigest !== keyed.requestDigest) {
      return trueMyth.Result.err(errors.createFault('idempotency-key-reused'));
    }
    if (known.answer !== undefined) return trueMyth.Result.ok(known.answer);
    if (known.outcome === records.RESOLUTIONS.RAN) return trueMyth.Result.err(resolvedAsRan());
    if (this.neverSent.has(known.intentId)) return this.startAfresh(keyed, known.intentId);
    return this.resolveByQuery(keyed, { id: known.intentId, target: known.target });
  }

  private async start(keyed: PreparedKeyedCall): Promise<Outcome<RecordedAnswer>> {
    const excluded = new Set<string>();
    for (let count = 0; count < MAXIMUM_ATTEMPTS; count += 1) {
      const ended = await this.attempt(keyed, excluded);
      if (ended !== undefined) return ended;
    }
    return trueMyth.Result.err(errors.createFault('target-unavailable'));
  }

  /**
   * An intent of this process that was refused, and counted all the same, was never dispatched and
   * never will be; only this process knows that, so it alone may withdraw it.
   */
  private async startAfresh(
    keyed: PreparedKeyedCall,
    intentId: string,
  ): Promise<Outcome<RecordedAnswer>> {
    const withdrawn = await this.withdraw(keyed, intentId, errors.createFault('log-unavailable'));
    if (!this.isKeyFree(keyed)) return withdrawn;
    this.neverSent.delete(intentId);
    return this.start(keyed);
  }

  /** One intent and one dispatch; nothing when nothing was sent and another target may be tried. */
  private async attempt(
    keyed: PreparedKeyedCall,
    excluded: Set<string>,
  ): Promise<Outcome<RecordedAnswer> | undefined> {
    if (!this.options.shards.isLogAvailable()) {
      return trueMyth.Result.err(errors.createFault('log-unavailable'));
    }
    const { services } = this.options;
    const acquired = await services.acquire(keyed.prepared, excluded);
    if (acquired.isErr) return trueMyth.Result.err(acquired.error);
    const place = acquired.value;
    const intent: Intent = { id: ulid.ulid(), target: place.target };
    this.running.add(intent.id);
    try {
      const intended = await this.intend(keyed, intent);
      if (intended !== undefined) return trueMyth.Result.err(intended);
      const sent = await services.dispatch(keyed.prepared, place);
      if (sent.isErr) return await this.withdraw(keyed, intent.id, sent.error);
      return await this.conclude(keyed, intent, sent.value, excluded);
    } finally {
      this.running.delete(intent.id);
      place.dispose();
    }
  }

  private async intend(
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
    if (result.error.details?.mayCount === true) this.neverSent.add(intent.id);
    return faults.withSent(result.error, false);
  }

  private async conclude(
    keyed: PreparedKeyedCall,
    intent: Intent,
    answer: targets.TargetResult<targets.ServiceAnswer>,
    excluded: Set<string>,
  ): Promise<Outcome<RecordedAnswer> | undefined> {
    const { id, target } = intent;
    if (answer.isOk) return this.complete(keyed, id, answers.recordService(answer.value));
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

  /** Frees the key of an intent for which nothing was sent. */
  private async withdraw(
    keyed: PreparedKeyedCall,
    intentId: string,
    fault: errors.Fault,
  ): Promise<Outcome<RecordedAnswer>> {
    const { callKey } = keyed;
    const appended = await this.options.shards.append(
      keyed.prepared.call.shard,
      { kind: records.RECORD_KINDS.CALL_WITHDRAWN, callKey },
      { replicateInOutage: true },
    );
    if (isLost(appended)) await this.options.reports.tell({ callKey, intentId });
    return trueMyth.Result.err(faults.withSent(fault, false));
  }

  private isKeyFree(keyed: PreparedKeyedCall): boolean {
    const owned = this.options.shards.owned(keyed.prepared.call.shard);
    return owned !== undefined && !owned.state.keyedCalls.has(keyed.callKey);
  }

  private async complete(
    keyed: PreparedKeyedCall,
    intentId: string,
    answer: RecordedAnswer,
  ): Promise<Outcome<RecordedAnswer>> {
    const { callKey } = keyed;
    const result = await this.options.shards.append(
      keyed.prepared.call.shard,
      { kind: records.RECORD_KINDS.CALL_COMPLETED, callKey, answer },
      { replicateInOutage: true },
    );
    // The caller gets the answer even when its record is not safe: the call has run.
    const isTold =
      isLost(result) && (await this.options.reports.tell({ callKey, intentId, answer }));
    if (result.isErr && !isTold) {
      this.options.logger.warn('The outcome of a call could not be recorded.', {
        shard: keyed.prepared.call.shard,
      });
    }
    return trueMyth.Result.ok(answer);
  }

  /** Asks the target by key when its pool names a query; the call is never sent again. */
  private async resolveByQuery(
    keyed: PreparedKeyedCall,
    { id, target }: Intent,
  ): Promise<Outcome<RecordedAnswer>> {
    const { call } = keyed.prepared;
    const queries = call.pool.outcomeQuery === undefined ? 0 : OUTCOME_QUERIES;
    for (let count = 0; count < queries && !call.signal.aborted; count += 1) {
      const { client } = this.options;
      const outcome = await client.queryOutcome(call.pool.name, target, keyed.idempotencyKey);
      if (outcome.isOk && outcome.value !== undefined) {
        return this.complete(keyed, id, answers.recordService(outcome.value));
      }
      await this.options.clock.sleep(OUTCOME_QUERY_INTERVAL_MS, call.signal);
    }
    return trueMyth.Result.err(errors.createFault('outcome-unknown'));
  }
}

/** Whether another process owns the shard now, so that it must be told. */
function isLost(appended: Outcome<journal.AppendReceipt>): boolean {
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
