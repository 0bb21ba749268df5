import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as keyedLog from '@limpettack/keyed-log';
import * as fastCheck from 'fast-check';
import type * as homePartition from './HomePartition.js';
import * as homeFixtures from './testing/homeFixtures.js';
import type { Reservation, Settlement } from './Types.js';

const { describe, expect, test } = jestGlobals;

const MOST_TOKENS = 100;
const BUDGET = 500;

interface OpenTurn {
  readonly request: Reservation;
  readonly allowance: number;
  isCovered: boolean;
  delivered: number;
}

/** One step of a test run. `turn` selects one of the open turns. */
type Step =
  | { readonly kind: 'start'; readonly mostTokens: number; readonly isRetained: boolean }
  | { readonly kind: 'deliver'; readonly turn: number; readonly tokens: number }
  | { readonly kind: 'finish'; readonly turn: number; readonly isKept: boolean }
  | {
      readonly kind:
        | 'outage'
        | 'lose-responses'
        | 'recover'
        | 'crash'
        | 'power-loss'
        | 'move'
        | 'second-home'
        | 'wait'
        | 'idle';
    };

const TURN = fastCheck.nat(5);

const TURN_STEP: fastCheck.Arbitrary<Step> = fastCheck.oneof(
  fastCheck.record({
    kind: fastCheck.constant('start' as const),
    mostTokens: fastCheck.constantFrom(50, MOST_TOKENS, MOST_TOKENS, MOST_TOKENS),
    isRetained: fastCheck.constantFrom(false, false, false, true),
  }),
  fastCheck.record({
    kind: fastCheck.constant('deliver' as const),
    turn: TURN,
    tokens: fastCheck.constantFrom(20, MOST_TOKENS, MOST_TOKENS, MOST_TOKENS),
  }),
  fastCheck.record({
    kind: fastCheck.constant('finish' as const),
    turn: TURN,
    isKept: fastCheck.boolean(),
  }),
);

const FAULT: fastCheck.Arbitrary<Step> = fastCheck.record({
  kind: fastCheck.constantFrom('crash' as const, 'second-home' as const, 'wait' as const),
});

const ANY_STEP: fastCheck.Arbitrary<Step> = fastCheck.oneof(
  { weight: 3, arbitrary: TURN_STEP },
  { weight: 1, arbitrary: FAULT },
  {
    weight: 2,
    arbitrary: fastCheck.record({
      kind: fastCheck.constantFrom(
        'outage' as const,
        'lose-responses' as const,
        'recover' as const,
        'move' as const,
        'wait' as const,
        'idle' as const,
      ),
    }),
  },
);

const OUTAGE: Step = { kind: 'outage' };

describe('HomePartition', () => {
  // A second allowance after the loss of a home, or allowances of parallel turns that add up, would
  // exceed the bound that callers are promised.
  test('delivers no more than the budget, and at most one turn more with any number of lost and second homes', async () => {
    await fastCheck.assert(
      fastCheck.asyncProperty(
        fastCheck.array(ANY_STEP, { maxLength: 6 }),
        fastCheck.array(TURN_STEP, { maxLength: 25 }),
        FAULT,
        fastCheck.array(ANY_STEP, { maxLength: 10 }),
        async (before, during, fault, after) => {
          const run = createRun();
          await run.loadPartition();
          for (const step of [...before, OUTAGE, ...during, fault, ...after])
            await run.runStep(step);
          await run.useUpBudget();
          run.end();
          const bound = run.hasFault() ? BUDGET + MOST_TOKENS : BUDGET;
          expect(run.deliveredTokens()).toBeLessThanOrEqual(bound);
        },
      ),
      { seed: 11, numRuns: 500 },
    );
  }, 60_000);

  // Each outage with a lost home granted the maximum of one turn anew.
  test('delivers at most one turn more than the budget over several outages with lost homes', async () => {
    const episode = fastCheck.record({
      before: fastCheck.array(ANY_STEP, { maxLength: 3 }),
      during: fastCheck.array(TURN_STEP, { minLength: 1, maxLength: 6 }),
      fault: fastCheck.oneof(FAULT, fastCheck.constant<Step>({ kind: 'power-loss' })),
    });
    await fastCheck.assert(
      fastCheck.asyncProperty(
        fastCheck.array(episode, { minLength: 2, maxLength: 4 }),
        async (episodes) => {
          const run = createRun();
          for (const { before, during, fault } of episodes) {
            await run.runStep({ kind: 'recover' });
            await run.loadPartition();
            for (const step of [...before, OUTAGE, ...during, fault]) await run.runStep(step);
          }
          await run.useUpBudget();
          run.end();
          expect(run.deliveredTokens()).toBeLessThanOrEqual(BUDGET + MOST_TOKENS);
        },
      ),
      { seed: 11, numRuns: 500 },
    );
  }, 60_000);
});

function createRun(): {
  /** A home whose partition has not been read grants nothing during an outage. */
  loadPartition(): Promise<void>;
  runStep(step: Step): Promise<void>;
  /** Ends all faults and runs turns until the budget is used up. */
  useUpBudget(): Promise<void>;
  end(): void;
  deliveredTokens(): number;
  /** Whether a home was lost, or two homes served at the same time. */
  hasFault(): boolean;
} {
  const time = new clock.ManualClock();
  const log = homeFixtures.createLog();
  const homes: homePartition.HomePartition[] = [];
  const openTurns: OpenTurn[] = [];
  const settlements: Settlement[] = [];
  let callCount = 0;
  let deliveredTokens = 0;
  let hasCrashed = false;
  let hasSecondHome = false;

  const open = (programsContinueDuringOutages: boolean): homePartition.HomePartition => {
    const producer = `home-${homes.length}`;
    const home = homeFixtures.createPartition({
      log,
      producer,
      time,
      programsContinueDuringOutages,
    });
    homes.push(home);
    return home;
  };
  let owner = open(true);

  /** Runs an operation for a limited time, and returns its result if it has ended by then. */
  const runFor = async <Value>(
    durationMs: clock.Milliseconds,
    operation?: Promise<Value>,
  ): Promise<Value | undefined> => {
    let result: Value | undefined;
    operation?.then((value) => {
      result = value;
    });
    for (let spent = 0; spent < durationMs && result === undefined; spent += 50) {
      await homeFixtures.flushEvents();
      time.advance(50);
    }
    await homeFixtures.flushEvents();
    return result;
  };

  const start = async (
    home: homePartition.HomePartition,
    mostTokens: number,
    isRetained: boolean,
  ): Promise<OpenTurn | undefined> => {
    callCount += 1;
    const call = `call-${callCount}`;
    const request = { program: 'p', call, budgetTokens: BUDGET, mostTokens, isRetained };
    const granted = await runFor(1_200, home.reserve(request));
    if (granted === undefined || granted.isErr) return undefined;
    const { isCovered, uncoveredTokens: allowance = 0 } = granted.value;
    return { request, allowance, isCovered, delivered: 0 };
  };

  const deliver = async (
    home: homePartition.HomePartition,
    turn: OpenTurn,
    tokens: number,
  ): Promise<void> => {
    const { allowance, request } = turn;
    turn.isCovered ||= (await runFor(100, home.cover(request))) === true;
    const most = turn.isCovered ? request.mostTokens : allowance;
    const added = Math.max(0, Math.min(tokens, most - turn.delivered));
    turn.delivered += added;
    deliveredTokens += added;
  };

  const finish = async (
    home: homePartition.HomePartition,
    { delivered, request }: OpenTurn,
    isKept: boolean,
  ): Promise<void> => {
    const settlement = { program: 'p', call: request.call, tokens: delivered, isKept };
    settlements.push(settlement);
    await runFor(50, home.settle(settlement, 'here'));
  };

  const deliverAndFinish = async (
    home: homePartition.HomePartition,
    turn: OpenTurn,
  ): Promise<void> => {
    await deliver(home, turn, MOST_TOKENS);
    await finish(home, turn, false);
  };

  const runWholeTurn = async (
    home: homePartition.HomePartition,
    mostTokens: number,
  ): Promise<boolean> => {
    const turn = await start(home, mostTokens, false);
    if (turn !== undefined) await deliverAndFinish(home, turn);
    return turn !== undefined;
  };

  const replaceOwner = async (): Promise<void> => {
    owner = open(true);
    // Clients deliver recent settlements again to the new home.
    const recent = settlements.splice(0);
    await Promise.all(recent.map((settlement) => runFor(50, owner.settle(settlement, 'here'))));
  };

  const runStep = async (step: Step): Promise<void> => {
    switch (step.kind) {
      case 'start': {
        const turn = await start(owner, step.mostTokens, step.isRetained);
        if (turn !== undefined) openTurns.push(turn);
        break;
      }
      case 'deliver': {
        const turn = openTurns[step.turn % openTurns.length];
        if (turn !== undefined) await deliver(owner, turn, step.tokens);
        break;
      }
      case 'finish': {
        const [turn] = openTurns.splice(step.turn % Math.max(1, openTurns.length), 1);
        if (turn !== undefined)
          await finish(owner, turn, step.isKept && turn.request.isRetained === true);
        break;
      }
      case 'crash':
        hasCrashed = true;
        owner.dispose();
        await replaceOwner();
        break;
      // The VMs of the callers end too, and with them what they know of open and settled turns.
      case 'power-loss':
        hasCrashed = true;
        owner.dispose();
        openTurns.splice(0);
        settlements.splice(0);
        owner = open(true);
        break;
      case 'move':
        if (log.outage !== undefined || log.losesAnswers) return;
        await runFor(400, owner.release());
        await replaceOwner();
        break;
      case 'second-home': {
        hasSecondHome = true;
        await runWholeTurn(open(false), MOST_TOKENS);
        break;
      }
      case 'outage':
        log.outage = keyedLog.LOG_FAILURES.LOST;
        break;
      case 'lose-responses':
        log.outage = undefined;
        log.losesAnswers = true;
        break;
      case 'recover':
        log.outage = undefined;
        log.losesAnswers = false;
        break;
      default:
        await runFor(step.kind === 'idle' ? 2_600 : 150);
    }
  };

  const useUpBudget = async (): Promise<void> => {
    await runStep({ kind: 'recover' });
    for (let turn = openTurns.shift(); turn !== undefined; turn = openTurns.shift())
      await deliverAndFinish(owner, turn);
    await runStep({ kind: 'wait' });
    for (let hasRoom = true; hasRoom;) hasRoom = await runWholeTurn(owner, 20);
  };

  const loadPartition = async (): Promise<void> => {
    await runFor(50, owner.settle({ program: 'q', call: 'q', tokens: 0, isKept: false }, 'here'));
  };

  return {
    loadPartition,
    runStep,
    useUpBudget,
    end: () => homes.forEach((home) => home.dispose()),
    deliveredTokens: () => deliveredTokens,
    hasFault: () => hasCrashed || hasSecondHome,
  };
}
