import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as errors from '@limpettack/errors';
import * as lifetime from '@limpettack/lifetime';
import * as fastCheck from 'fast-check';
import * as policies from './Policies.js';
import * as schedulers from './PoolScheduler.js';
import type { CallDescription, Slot, TargetCandidate, TargetView } from './Types.js';

const { describe, expect, test } = jestGlobals;

const SEED = 20_261_204;

const SILENT_LOGGER = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

class FakeTargets implements TargetView {
  public readonly capacityEmitter = new lifetime.Emitter<string>();

  public readonly onCapacity = this.capacityEmitter.event;

  public constructor(public readonly targets: Map<string, Partial<TargetCandidate>>) {}

  public candidates({ excluded }: CallDescription): readonly TargetCandidate[] {
    return [...this.targets]
      .filter(([name]) => !excluded.has(name))
      .map(([name, target]) => ({
        name,
        failureDomain: 'here',
        slots: 2,
        // The scheduler itself must count granted slots that the targets do not report yet.
        ownInFlight: 0,
        otherInFlight: 0,
        concurrencyLimit: 2,
        cachedTokens: 0,
        prefillMsPerToken: 1,
        decodeMsPerToken: 10,
        ...target,
      }));
  }
}

type PolicyName = policies.PolicyName;

function createScheduler(targets: FakeTargets, policy: PolicyName = 'fair') {
  const time = new clock.ManualClock();
  const scheduler = new schedulers.PoolScheduler({
    targets,
    policy: policies.POLICIES[policy](),
    clock: time,
    ownFailureDomain: 'here',
    logger: SILENT_LOGGER,
  });
  return { scheduler, time };
}

function call(overrides: Partial<CallDescription> = {}): CallDescription {
  return {
    callId: 'call',
    pool: 'pool',
    workspace: 'quito',
    program: 'program',
    promptTokens: 100,
    expectedTokens: 10,
    attainedSeconds: 0,
    deadline: 1_000_000,
    excluded: new Set(),
    ...overrides,
  };
}

interface PendingCall {
  outcome?: Slot | errors.Fault;
  readonly cancellation: AbortController;
}

function startAcquire(
  scheduler: schedulers.PoolScheduler,
  description: CallDescription,
): PendingCall {
  const pending: PendingCall = { cancellation: new AbortController() };
  scheduler
    .acquire(description, pending.cancellation.signal)
    .then((result) => {
      pending.outcome = result.isOk ? result.value : result.error;
    })
    .catch(() => undefined);
  return pending;
}

function slotOf(pending: PendingCall): Slot | undefined {
  return pending.outcome && 'target' in pending.outcome ? pending.outcome : undefined;
}

/** Waits until pending promise callbacks have run. */
function settlePromises(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

async function advance(time: clock.ManualClock, spanMs: number): Promise<void> {
  for (let passed = 0; passed < spanMs; passed += 250) {
    time.advance(Math.min(250, spanMs - passed));
    await settlePromises();
  }
}

describe('PoolScheduler', () => {
  test('refuses a call as not run at its deadline', async () => {
    const { scheduler, time } = createScheduler(new FakeTargets(new Map([['one', { slots: 1 }]])));
    startAcquire(scheduler, call());
    const late = startAcquire(scheduler, call({ deadline: 5_000 }));
    await advance(time, 4_900);
    expect(late.outcome).toBeUndefined();
    await advance(time, 100);
    expect(late.outcome).toMatchObject({ kind: 'deadline-exceeded', run: 'not-run' });
    await scheduler.dispose();
  });

  test('a cancelled call leaves the queue at once', async () => {
    const { scheduler } = createScheduler(new FakeTargets(new Map([['one', { slots: 1 }]])));
    startAcquire(scheduler, call());
    const pending = startAcquire(scheduler, call());
    pending.cancellation.abort();
    expect(scheduler.waitingCount('pool')).toBe(0);
    await settlePromises();
    expect(pending.outcome).toMatchObject({ run: 'not-run' });
    await scheduler.dispose();
  });

  test('refuses with target-unavailable if no target appears, and waits while one may', async () => {
    const targets = new FakeTargets(new Map());
    const { scheduler, time } = createScheduler(targets);
    const early = startAcquire(scheduler, call());
    await advance(time, 3_000);
    expect(early.outcome).toMatchObject({ kind: 'target-unavailable', run: 'not-run' });
    const served = startAcquire(scheduler, call());
    await advance(time, 500);
    targets.targets.set('one', {});
    targets.capacityEmitter.fire('pool');
    await settlePromises();
    expect(slotOf(served)?.target).toBe('one');
    await scheduler.dispose();
  });

  test('service reported by peers affects the order of workspaces', async () => {
    const { scheduler } = createScheduler(new FakeTargets(new Map([['one', { slots: 1 }]])));
    scheduler.recordService('light', 5);
    scheduler.updatePeerUsage('peer', [{ workspace: 'heavy', seconds: 50 }]);
    const running = startAcquire(scheduler, call({ workspace: 'other' }));
    await settlePromises();
    const heavy = startAcquire(scheduler, call({ workspace: 'heavy' }));
    const light = startAcquire(scheduler, call({ workspace: 'light' }));
    await slotOf(running)?.dispose();
    await settlePromises();
    expect([slotOf(heavy)?.target, slotOf(light)?.target]).toEqual([undefined, 'one']);
    expect(scheduler.ownUsage()).toEqual([{ workspace: 'light', seconds: 5 }]);
    await scheduler.dispose();
  });

  const asking = fastCheck.record({
    kind: fastCheck.constant('ask' as const),
    workspace: fastCheck.constantFrom('a', 'b', 'c'),
    attainedSeconds: fastCheck.nat(20),
    excluded: fastCheck.subarray(['one', 'two']),
    deadline: fastCheck.integer({ min: 2_000, max: 100_000 }),
  });

  const step = fastCheck.oneof(
    { weight: 4, arbitrary: asking },
    fastCheck.record({ kind: fastCheck.constant('end' as const), index: fastCheck.nat(8) }),
    fastCheck.record({ kind: fastCheck.constant('cancel' as const), index: fastCheck.nat(50) }),
    fastCheck.record({ kind: fastCheck.constant('pass' as const), spanMs: fastCheck.nat(1_000) }),
    fastCheck.record({
      kind: fastCheck.constant('limit' as const),
      target: fastCheck.constantFrom('one', 'two', 'three'),
      concurrencyLimit: fastCheck.integer({ min: 1, max: 4 }),
      cachedTokens: fastCheck.nat(100),
    }),
  );

  test.each(Object.keys(policies.POLICIES) as PolicyName[])(
    '%s never exceeds a limit and completes or refuses each call',
    async (policy) => {
      const property = fastCheck.asyncProperty(
        fastCheck.array(step, { maxLength: 60 }),
        async (steps) => {
          const targets = new FakeTargets(
            new Map([
              ['one', {}],
              ['two', {}],
              ['three', {}],
            ]),
          );
          const { scheduler, time } = createScheduler(targets, policy);
          const all: PendingCall[] = [];
          const ended = new Set<Slot>();
          const running = () =>
            all.flatMap((pending) => slotOf(pending) ?? []).filter((slot) => !ended.has(slot));
          const end = (slot: Slot): void => {
            ended.add(slot);
            Promise.resolve(slot.dispose()).catch(() => undefined);
          };
          for (const { kind, ...details } of steps) {
            if (kind === 'ask') {
              const { excluded, ...rest } = details as { excluded: string[] };
              all.push(startAcquire(scheduler, call({ ...rest, excluded: new Set(excluded) })));
            }
            const { index = 0, spanMs = 0 } = details as { index?: number; spanMs?: number };
            const slot = running()[index];
            if (kind === 'end' && slot) end(slot);
            if (kind === 'cancel') all[index]?.cancellation.abort();
            if (kind === 'pass') await advance(time, spanMs);
            const before = new Map(countByTarget(running()));
            if (kind === 'limit') {
              const { target, ...limits } = details as { target: string };
              targets.targets.set(target, limits);
              targets.capacityEmitter.fire('pool');
            }
            await settlePromises();
            countByTarget(running()).forEach((count, name) => {
              const limit = Math.min(2, targets.targets.get(name)?.concurrencyLimit ?? 2);
              // A lowered limit ends no running call, but no call may be added above it.
              expect(count).toBeLessThanOrEqual(Math.max(limit, before.get(name) ?? 0));
            });
          }
          while (running().length > 0) {
            running().forEach(end);
            await advance(time, 250);
          }
          // By then, each call that was not served must have been refused or cancelled.
          await advance(time, 1_000);
          expect(all.filter((pending) => pending.outcome === undefined)).toEqual([]);
          await scheduler.dispose();
        },
      );
      await fastCheck.assert(property, { seed: SEED, numRuns: 60 });
    },
  );
});

function countByTarget(slots: readonly Slot[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  slots.forEach((slot) => counts.set(slot.target, (counts.get(slot.target) ?? 0) + 1));
  return counts;
}
