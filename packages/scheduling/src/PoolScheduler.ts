import type * as clock from '@limpettack/clock';
import type * as errors from '@limpettack/errors';
import * as faults from '@limpettack/errors';
import * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import * as trueMyth from 'true-myth';
import type {
  CallDescription,
  Scheduler,
  SchedulingPolicy,
  Slot,
  TargetCandidate,
  TargetView,
  WaitingCall,
  WorkspaceTotal,
  WorkspaceUsage,
} from './Types.js';
import * as grantedSlots from './GrantedSlots.js';
import * as predictions from './predictions.js';
import * as priorities from './priorities.js';
import * as capacity from './capacity.js';
import * as usageLedger from './UsageLedger.js';

/** Maximum time that a call waits while no target is available to it. */
const NO_TARGET_GRACE_MS = 2_000;

/**
 * Interval at which all queues are checked, because not every change of a target fires an event.
 */
const SWEEP_INTERVAL_MS = 250;

/** Maximum duration of one sleep. Longer waits use several, because Node.js limits timers. */
const MAXIMUM_SLEEP_MS = 86_400_000;

/** Maximum number of calls that one dispatch may skip because their targets are full. */
const MAXIMUM_SKIPPED_CALLS = 128;

const NO_EXPECTED_CALLS: ReadonlyMap<string, number> = new Map();

/** Dependencies of a scheduler. */
export interface PoolSchedulerOptions {
  readonly targets: TargetView;
  readonly policy: SchedulingPolicy;
  readonly clock: clock.Clock;
  readonly ownFailureDomain: string;
  readonly logger: logging.Logger;
}

type SlotResult = trueMyth.Result<Slot, errors.Fault>;

interface Entry {
  readonly call: WaitingCall;
  readonly settle: (result: SlotResult) => void;
}

/** One queue per pool. A policy orders the calls and assigns them to targets. */
export class PoolScheduler implements Scheduler {
  /** Waiting calls by pool. The call objects are the keys, because call ids may repeat. */
  private readonly queues = new Map<string, Map<WaitingCall, Entry>>();

  /** For waiting calls without an available target: the time at which this was first found. */
  private readonly unavailableSince = new Map<WaitingCall, clock.Milliseconds>();

  /**
   * For waiting calls that did not use a target with capacity: the time of the first such choice.
   */
  private readonly deferredSince = new Map<WaitingCall, clock.Milliseconds>();

  private readonly ledger: usageLedger.UsageLedger;

  private readonly grantedSlots = new grantedSlots.GrantedSlots();

  private readonly owned = new lifetime.DisposableStore();

  private readonly usage: WorkspaceUsage;

  public constructor(private readonly options: PoolSchedulerOptions) {
    this.ledger = new usageLedger.UsageLedger(options.clock);
    this.usage = {
      attainedSeconds: (workspace) =>
        this.ledger.attainedSeconds(workspace) + this.grantedSlots.expectedSeconds(workspace),
    };
    this.owned.add(options.targets.onCapacity((pool) => this.dispatch(pool)));
    const stop = new AbortController();
    this.owned.addCallback(() => stop.abort());
    this.sweep(stop.signal).catch((error: unknown) => {
      options.logger.error('The sweep of the queues failed.', { reason: String(error) });
    });
  }

  /** @inheritdoc */
  public async acquire(call: CallDescription, signal: AbortSignal): Promise<SlotResult> {
    if (this.owned.isDisposed) return refusal('shutting-down');
    if (signal.aborted) return refusal('deadline-exceeded', 'The caller gave up.');
    const waiting: WaitingCall = { ...call, waitingSince: this.options.clock.now() };
    const refused = this.refuseEarly(waiting);
    if (refused) return trueMyth.Result.err(refused);
    return this.wait(waiting, signal);
  }

  /** @inheritdoc */
  public recordService(workspace: string, seconds: number): void {
    this.ledger.add(workspace, seconds);
  }

  /** @inheritdoc */
  public ownUsage(): readonly WorkspaceTotal[] {
    return this.ledger.ownTotals();
  }

  /** @inheritdoc */
  public updatePeerUsage(peer: string, totals: readonly WorkspaceTotal[]): void {
    this.ledger.replacePeerTotals(peer, totals);
  }

  /** Number of waiting calls of a pool, for metrics. */
  public waitingCount(pool: string): number {
    return this.queues.get(pool)?.size ?? 0;
  }

  /** @inheritdoc */
  public async dispose(): Promise<void> {
    await this.owned.dispose();
    const entries = [...this.queues.values()].flatMap((queue) => [...queue.values()]);
    entries.forEach((entry) => entry.settle(refusal('shutting-down')));
  }

  private refuseEarly(call: WaitingCall): errors.Fault | undefined {
    const now = this.options.clock.now();
    if (call.deadline <= now) {
      return faults.createFault('deadline-exceeded', undefined, {
        run: faults.RUN_STATES.NOT_RUN,
      });
    }
    const waiting = [...this.queueOf(call.pool).keys()];
    return this.options.policy.refuse(call, waiting, this.candidates(call), now);
  }

  private wait(call: WaitingCall, signal: AbortSignal): Promise<SlotResult> {
    const queue = this.queueOf(call.pool);
    const settled = new AbortController();
    return new Promise((resolve) => {
      const settle = (result: SlotResult): void => {
        if (settled.signal.aborted) return;
        settled.abort();
        queue.delete(call);
        this.unavailableSince.delete(call);
        this.deferredSince.delete(call);
        resolve(result);
      };
      const cancel = (): void => settle(refusal('deadline-exceeded', 'The caller gave up.'));
      signal.addEventListener('abort', cancel, { once: true, signal: settled.signal });
      queue.set(call, { call, settle });
      this.refuseAtDeadline(call, settle, settled.signal).catch(() => undefined);
      this.dispatch(call.pool);
    });
  }

  private async refuseAtDeadline(
    call: WaitingCall,
    settle: (result: SlotResult) => void,
    settled: AbortSignal,
  ): Promise<void> {
    while (!settled.aborted && this.options.clock.now() < call.deadline) {
      const remainingMs = call.deadline - this.options.clock.now();
      await this.options.clock.sleep(Math.min(remainingMs, MAXIMUM_SLEEP_MS), settled);
    }
    settle(refusal('deadline-exceeded', 'The call waited past its deadline.'));
  }

  private async sweep(stop: AbortSignal): Promise<void> {
    while (!stop.aborted) {
      await this.options.clock.sleep(SWEEP_INTERVAL_MS, stop);
      [...this.queues.keys()].forEach((pool) => this.dispatch(pool));
      [...this.queues.values()].forEach((queue) => this.refuseUnavailable(queue));
    }
  }

  private refuseUnavailable(queue: ReadonlyMap<WaitingCall, Entry>): void {
    const now = this.options.clock.now();
    [...queue.values()].forEach(({ call, settle }) => {
      if (this.options.targets.candidates(call).length > 0) {
        this.unavailableSince.delete(call);
        return;
      }
      const since = this.unavailableSince.get(call) ?? now;
      this.unavailableSince.set(call, since);
      if (now - since >= NO_TARGET_GRACE_MS) settle(refusal('target-unavailable'));
    });
  }

  /** Assigns waiting calls to targets until no call would use a target with capacity. */
  private dispatch(pool: string): void {
    if (this.owned.isDisposed) return;
    const now = this.options.clock.now();
    const expected = new Map<string, number>();
    let waiting = [...this.queueOf(pool).keys()];
    let skippedCalls = 0;
    while (skippedCalls < MAXIMUM_SKIPPED_CALLS && this.mayServeAny(waiting)) {
      const call = this.options.policy.order(waiting, this.usage, now);
      if (!call) return;
      waiting = waiting.filter((other) => other !== call);
      const candidates = this.candidates(call, expected);
      const { ownFailureDomain, policy } = this.options;
      const choice = policy.choose(this.withDeferral(call), candidates, ownFailureDomain, now);
      if (choice && capacity.hasCapacity(choice)) {
        this.grant(call, choice);
        continue;
      }
      skippedCalls += 1;
      if (candidates.some(capacity.hasCapacity) && !this.deferredSince.has(call)) {
        this.deferredSince.set(call, now);
      }
      // This call is added to the target's load when targets are chosen for later calls, so that
      // not all calls wait for the same target.
      if (choice) expected.set(choice.name, (expected.get(choice.name) ?? 0) + 1);
    }
  }

  private withDeferral(call: WaitingCall): WaitingCall {
    const deferredSince = this.deferredSince.get(call);
    return deferredSince === undefined ? call : { ...call, deferredSince };
  }

  /**
   * Whether a target may have capacity for one of the calls. The check avoids ordering a long queue
   * while all targets are full.
   */
  private mayServeAny(waiting: readonly WaitingCall[]): boolean {
    if (waiting.length === 0) return false;
    const unrestricted = waiting.find((call) => call.excluded.size === 0);
    return !unrestricted || this.candidates(unrestricted).some(capacity.hasCapacity);
  }

  private grant(call: WaitingCall, target: TargetCandidate): void {
    const expectedMs = predictions.serviceMs(call, target);
    const priority = priorities.enginePriority(
      this.usage.attainedSeconds(call.workspace),
      call.attainedSeconds,
    );
    const grantedSlot = this.grantedSlots.grant(target.name, call.workspace, expectedMs);
    const slot: Slot = {
      target: target.name,
      priority,
      dispose: () => {
        if (!grantedSlot.release()) return;
        this.dispatch(call.pool);
      },
    };
    this.queueOf(call.pool).get(call)?.settle(trueMyth.Result.ok(slot));
  }

  /**
   * The targets that may run a call. Their load includes calls that have a slot but may not have
   * started, and the calls in `expected`, which wait for a specific target.
   */
  private candidates(
    call: CallDescription,
    expected: ReadonlyMap<string, number> = NO_EXPECTED_CALLS,
  ): readonly TargetCandidate[] {
    return this.options.targets.candidates(call).map((candidate) => ({
      ...candidate,
      ownInFlight: Math.max(candidate.ownInFlight, this.grantedSlots.count(candidate.name)),
      otherInFlight: candidate.otherInFlight + (expected.get(candidate.name) ?? 0),
    }));
  }

  private queueOf(pool: string): Map<WaitingCall, Entry> {
    const queue = this.queues.get(pool) ?? new Map<WaitingCall, Entry>();
    this.queues.set(pool, queue);
    return queue;
  }
}

function refusal(kind: errors.ErrorKind, message?: string): SlotResult {
  return trueMyth.Result.err(faults.createFault(kind, message, { run: faults.RUN_STATES.NOT_RUN }));
}
