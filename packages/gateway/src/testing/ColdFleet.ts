import * as clock from '@limpettack/clock';
import type * as errors from '@limpettack/errors';
import * as lifetime from '@limpettack/lifetime';
import type * as membership from '@limpettack/membership';
import * as trueMyth from 'true-myth';
import * as coldTargetLimiter from '../ColdTargetLimiter.js';
import * as coldTargets from '../ColdTargets.js';
import type * as currentTables from '../CurrentTables.js';
import * as routeKinds from '../RouteKinds.js';
import * as targetSelector from '../TargetSelector.js';
import * as targetSender from '../TargetSender.js';
import * as unaryCall from '../UnaryCall.js';
import * as fixtures from './gatewayFixtures.js';
import * as recordedReply from './RecordedReply.js';
import type { ColdStart, ListedTarget, Target, TargetTransport } from '../Types.js';

const STEP_MS = 10;
const RESPONSE_MS = 20;
const SECOND_MS = 1_000;
const TIMEOUT_MS = 2_000;
const ROUTE = { kind: routeKinds.ROUTE_KINDS.ONCE, timeoutMs: TIMEOUT_MS };

/** The settings of a fleet. */
export interface ColdFleetOptions {
  readonly vmCount: number;
  readonly targetCount: number;
  readonly ratePerSecond: number;
  /** Whether the VM list of the first VM contains the second one. */
  readonly isListedFor?: (vm: number, other: number) => boolean;
}

/** Tables with one pool whose targets are cold after their start. */
export function createColdTables(
  coldStart: ColdStart | undefined,
): Pick<currentTables.CurrentTables, 'current' | 'onChange'> {
  const pools = new Map([
    ['pool', { name: 'pool', maximumConnections: 8, tokensPerEvent: 1, coldStart }],
  ]);
  const current = { pools } as unknown as NonNullable<currentTables.CurrentTables['current']>;
  return { current, onChange: new lifetime.Emitter<never>().event };
}

export function list(target: Target, coldLeftMs?: number): ListedTarget {
  return { target, coldLeftMs: trueMyth.Result.ok(coldLeftMs) };
}

/** Creates VMs that send calls to the same targets on a manual clock and exchange no messages. */
export function createColdFleet(options: ColdFleetOptions) {
  const { isListedFor = () => true, ratePerSecond, targetCount, vmCount } = options;
  const time = new clock.ManualClock();
  const numbers = Array.from({ length: vmCount }, (_, index) => index);
  const ids = Array.from({ length: targetCount }, (_, index) => `target-${index}`);
  const targets = ids.map((id) => fixtures.createTarget(id));
  const tables = createColdTables({ durationMs: 20_000, ratePerSecond });
  const sends: { target: string; vm: number; at: clock.Milliseconds }[] = [];
  const refusals: errors.Fault[] = [];
  const vms = numbers.map(createVm);
  return { ids, targets, sends, refusals, vms, play, mostPerSecond };

  function createVm(vm: number) {
    const cold = new coldTargets.ColdTargets({
      tables,
      clock: time,
      logger: { debug: ignore, info: ignore, warn: ignore, error: ignore },
    });
    const members = numbers
      .filter((other) => other === vm || isListedFor(vm, other))
      .map((other) => ({ name: `vm-${other}`, listed: true, state: 'available' }));
    const transport: TargetTransport = {
      send: (target, _request, handler) => {
        sends.push({ target: target.id, vm, at: time.now() });
        const timer = time.startTimer(RESPONSE_MS, () => fixtures.sendResponse('')(handler));
        return { abort: () => timer.cancel(), pause: ignore, resume: ignore };
      },
    };
    const base = fixtures.createDependencies(transport, targets);
    const limits = new coldTargetLimiter.ColdTargetLimiter({
      limits: base.limits,
      coldTargets: cold,
      tables,
      membership: {
        self: { name: `vm-${vm}` },
        members: () => members,
      } as unknown as membership.Membership,
      clock: time,
    });
    const selector = new targetSelector.TargetSelector({
      ...base,
      limits,
      isCold: (target) => cold.isCold(target),
      clock: time,
      ownFailureDomain: 'a',
      random: () => ((vm * 37 + sends.length * 11) % 101) / 101,
    });
    const sender = new targetSender.TargetSender({ ...base, transport, clock: time });
    return { cold, dependencies: { ...base, limits, selector, sender, clock: time } };
  }

  /** Starts a burst of calls at each VM every half second. */
  async function play(seconds: number, callsOfBurst: number): Promise<void> {
    for (let elapsed = 0; elapsed < seconds * SECOND_MS; elapsed += STEP_MS) {
      if (elapsed % (SECOND_MS / 2) === 0)
        vms.forEach((vm) => Array.from({ length: callsOfBurst }).forEach(() => startCall(vm)));
      await settle();
      time.advance(STEP_MS);
    }
    await settle();
  }

  function startCall({ dependencies }: (typeof vms)[number]): void {
    const reply = new recordedReply.RecordedReply();
    const call = { timeoutMs: TIMEOUT_MS };
    const context = fixtures.createContext(dependencies, ROUTE, call);
    new unaryCall.UnaryCall(dependencies, context, reply).run().then(() => {
      if (reply.fault !== undefined) refusals.push(reply.fault);
    });
  }

  /** The largest number of requests that a target got in any second. */
  function mostPerSecond(): number {
    const counts = ids.flatMap((id) => {
      const times = sends.filter(({ target }) => target === id).map(({ at }) => at);
      return times.map(
        (start) => times.filter((at) => at >= start && at < start + SECOND_MS).length,
      );
    });
    return Math.max(0, ...counts);
  }
}

function ignore(): void {
  return undefined;
}

async function settle(): Promise<void> {
  for (let turn = 0; turn < 2; turn += 1) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}
