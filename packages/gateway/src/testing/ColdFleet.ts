import * as clock from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';
import * as logging from '@limpettack/logging';
import * as trueMyth from 'true-myth';
import * as coldTargetLimiter from '../ColdTargetLimiter.js';
import * as coldTargets from '../ColdTargets.js';
import * as targetScores from '../TargetScores.js';
import * as targetSelector from '../TargetSelector.js';
import * as targetTurns from '../TargetTurns.js';
import * as fixtures from './gatewayFixtures.js';
import type { ColdStart, ListedTarget, Target } from '../Types.js';

const STEP_MS = 10;
const SECOND_MS = 1_000;
/** Time for which a call waits for a turn. */
const CALL_WAIT_MS = 1_400;

/** Tables with one pool. */
export function createTables(coldStart?: ColdStart): coldTargets.ColdTargetsOptions['tables'] {
  const current = { pools: new Map([['pool', { coldStart }]]) } as never;
  return { current, onChange: new lifetime.Emitter<never>().event };
}

export function list(target: Target, coldLeftMs?: number): ListedTarget {
  return { target, coldLeftMs: trueMyth.Result.ok(coldLeftMs) };
}

/** Creates VMs that send calls to the same targets on a manual clock and exchange no messages. */
export function createColdFleet(
  { ratePerSecond, targetCount, vmCount }: Record<string, number>,
  isListedFor: (vm: number, other: number) => boolean = () => true,
) {
  const time = new clock.ManualClock();
  const numbers = Array.from({ length: vmCount! }, (_, index) => index);
  const targets = Array.from({ length: targetCount! }, (_, id) => fixtures.createTarget(`${id}`));
  const tables = createTables({ durationMs: 20_000, ratePerSecond: ratePerSecond! });
  const options = { tables, clock: time, logger: new logging.PartLogger('test') };
  const registry = { usable: () => targets, listed: () => targets, isUsable: () => true };
  const sends: { target: string; vm: number; at: clock.Milliseconds }[] = [];
  const refusals: clock.Milliseconds[] = [];
  const vms = numbers.map((vm) => {
    const cold = new coldTargets.ColdTargets(options);
    const members = numbers
      .filter((other) => other === vm || isListedFor(vm, other))
      .map((other) => ({ name: `vm-${other}`, listed: true }));
    const membership = { self: { name: `vm-${vm}` }, members: () => members } as never;
    const { limits: noLimits } = fixtures.createDependencies(undefined as never, []);
    const limits = new coldTargetLimiter.ColdTargetLimiter({
      ...options,
      limits: noLimits,
      coldTargets: cold,
      membership,
    });
    const selector = new targetSelector.TargetSelector({
      ...options,
      registry,
      scores: new targetScores.TargetScores(time),
      limits,
      isCold: (target) => cold.isCold(target),
      rules: fixtures.NO_RULES,
      ownFailureDomain: 'a',
      random: () => ((vm * 37 + sends.length * 11) % 101) / 101,
    });
    const context = { pool: 'pool', call: { signal: undefined } } as never;
    const call = (maximumWaitMs = CALL_WAIT_MS): void => {
      const latest = time.now() + maximumWaitMs;
      const turns = new targetTurns.TargetTurns({ ...options, limits, selector }, context, false, {
        isWaiting: () => true,
        onTarget: (target) => sends.push({ target: target.id, vm, at: time.now() }),
        onNone: () => turns.waitForTurn(latest),
        onNoTurn: (waitMs) => refusals.push(waitMs),
      });
      turns.choose();
    };
    return { cold, call, limits };
  });
  /** Starts a burst of calls at each VM every half second. */
  const play = async (seconds: number, callsOfBurst: number): Promise<void> => {
    for (let elapsed = 0; elapsed < seconds * SECOND_MS; elapsed += STEP_MS) {
      if (elapsed % (SECOND_MS / 2) === 0)
        vms.forEach(({ call }) => Array.from({ length: callsOfBurst }).forEach(() => call()));
      await new Promise(setImmediate);
      time.advance(STEP_MS);
    }
    await new Promise(setImmediate);
  };
  /** The largest number of requests that a target got in any second. */
  const mostPerSecond = (): number => {
    const inSecond = (start: (typeof sends)[number]) => (send: (typeof sends)[number]) =>
      send.target === start.target && send.at >= start.at && send.at < start.at + SECOND_MS;
    return Math.max(0, ...sends.map((start) => sends.filter(inSecond(start)).length));
  };
  const listAll = (coldLeftMs: number): void =>
    vms.forEach(({ cold }) => cold.reset(targets.map((target) => list(target, coldLeftMs))));
  return { time, targets, sends, refusals, vms, play, mostPerSecond, listAll };
}
