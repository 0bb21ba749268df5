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
import * as heldSlots from './HeldSlots.js';
import * as predictions from './predictions.js';
import * as priorities from './priorities.js';
import * as room from './room.js';
import * as usageLedger from './UsageLedger.js';

/** How long a call waits while its pool has no target that may take work. */
const NO_TARGET_GRACE_MS = 2_000;

/** Time between looks at all queues, for what no event tells of. */
const SWEEP_INTERVAL_MS = 250;

/** Timers cannot run for much longer. */
const LONGEST_SLEEP_MS = 86_400_000;

/** Calls that one look at a queue may leave waiting for a target that is full. */
const MAXIMUM_PASSED_OVER = 128;

const NONE_EXPECTED: ReadonlyMap<string, number> = new Map();

/** What a scheduler needs. */
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

/** One queue a pool, ordered and matched to targets by a policy. */
export class PoolScheduler implements Scheduler {
  /** Waiting calls by pool; the object of a call is its key, since a call id may come twice. */
  private readonly queues = new Map<string, Map<WaitingCall, Entry>>();

  /** Since when waiting calls have had no target at all. */
  private readonly unavailableSince = new Map<WaitingCall, clock.Milliseconds>();

  /** Since when waiting calls have left room to others, by the object of the call. */
  private readonly heldBackSince = new Map<WaitingCall, clock.Milliseconds>();

  private readonly ledger: usageLedger.UsageLedger;

  private readonly held = new heldSlots.HeldSlots();

  private readonly owned = new lifetime.DisposableStore();

  private readonly usage: WorkspaceUsage;

  public constructor(private readonly options: PoolSchedulerOptions) {
    this.ledger = new usageLedger.UsageLedger(options.clock);
    this.usage = {
      attainedSeconds: (workspace) =>
        this.ledger.attainedSeconds(workspace) + this.held.expectedSeconds(workspace),
    };
    this.owned.add(options.targets.onRoom((pool) => this.dispatch(pool)));
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
  public learnUsage(peer: string, totals: readonly WorkspaceTotal[]): void {
    this.ledger.learn(peer, totals);
  }

  /** Waiting calls of a pool, for metrics. */
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
    const waiting = [...this.queue(call.pool).keys()];
    return this.options.policy.refuse(call, waiting, this.candidates(call), now);
  }

  private wait(call: WaitingCall, signal: AbortSignal): Promise<SlotResult> {
    const queue = this.queue(call.pool);
    const settled = new AbortController();
    return new Promise((resolve) => {
      const settle = (result: SlotResult): void => {
        if (settled.signal.aborted) return;
        settled.abort();
        queue.delete(call);
        this.unavailableSince.delete(call);
        this.heldBackSince.delete(call);
        resolve(result);
      };
      const giveUp = (): void => settle(refusal('deadline-exceeded', 'The caller gave up.'));
      signal.addEventListener('abort', giveUp, { once: true, signal: settled.signal });
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
      const spanMs = call.deadline - this.options.clock.now();
      await this.options.clock.sleep(Math.min(spanMs, LONGEST_SLEEP_MS), settled);
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

  /** Gives targets to waiting calls until none with room is left that a call would take. */
  private dispatch(pool: string): void {
    if (this.owned.isDisposed) return;
    const now = this.options.clock.now();
    const expected = new Map<string, number>();
    let waiting = [...this.queue(pool).keys()];
    let passedOver = 0;
    while (passedOver < MAXIMUM_PASSED_OVER && this.mayFindRoom(waiting)) {
      const call = this.options.policy.order(waiting, this.usage, now);
      if (!call) return;
      waiting = waiting.filter((other) => other !== call);
      const candidates = this.candidates(call, expected);
      const { ownFailureDomain, policy } = this.options;
      const choice = policy.choose(this.withHeldBack(call), candidates, ownFailureDomain, now);
      if (choice && room.hasRoom(choice)) {
        this.grant(call, choice);
        continue;
      }
      passedOver += 1;
      if (candidates.some(room.hasRoom) && !this.heldBackSince.has(call)) {
        this.heldBackSince.set(call, now);
      }
      // Later calls see that this one waits for the target too, so that not all wait for it.
      if (choice) expected.set(choice.name, (expected.get(choice.name) ?? 0) + 1);
    }
  }

  private withHeldBack(call: WaitingCall): WaitingCall {
    const heldBackSince = this.heldBackSince.get(call);
    return heldBackSince === undefined ? call : { ...call, heldBackSince };
  }

  /** Whether any call can go; saves the ordering of a long queue when all targets are full. */
  private mayFindRoom(waiting: readonly WaitingCall[]): boolean {
    if (waiting.length === 0) return false;
    const anywhere = waiting.find((call) => call.excluded.size === 0);
    return !anywhere || this.candidates(anywhere).some(room.hasRoom);
  }

  private grant(call: WaitingCall, target: TargetCandidate): void {
    const expectedMs = predictions.serviceMs(call, target);
    const priority = priorities.enginePriority(
      this.usage.attainedSeconds(call.workspace),
      call.attainedSeconds,
    );
    const place = this.held.hold(target.name, call.workspace, expectedMs);
    const slot: Slot = {
      target: target.name,
      priority,
      dispose: () => {
        if (!place.release()) return;
        this.dispatch(call.pool);
      },
    };
    this.queue(call.pool).get(call)?.settle(trueMyth.Result.ok(slot));
  }

  /**
   * The targets with the calls counted that were granted but may not have been started yet, and
   * those that wait for one of them.
   */
  private candidates(
    call: CallDescription,
    expected: ReadonlyMap<string, number> = NONE_EXPECTED,
  ): readonly TargetCandidate[] {
    return this.options.targets.candidates(call).map((candidate) => ({
      ...candidate,
      ownInFlight: Math.max(candidate.ownInFlight, this.held.count(candidate.name)),
      otherInFlight: candidate.otherInFlight + (expected.get(candidate.name) ?? 0),
    }));
  }

  private queue(pool: string): Map<WaitingCall, Entry> {
    const queue = this.queues.get(pool) ?? new Map<WaitingCall, Entry>();
    this.queues.set(pool, queue);
    return queue;
  }
}

function refusal(kind: errors.ErrorKind, message?: string): SlotResult {
  return trueMyth.Result.err(faults.createFault(kind, message, { run: faults.RUN_STATES.NOT_RUN }));
}
