import * as jestGlobals from '@jest/globals';
import * as keyedLog from '@limpettack/keyed-log';
import * as fastCheck from 'fast-check';
import * as homePartition from './HomePartition.js';
import * as homeFixtures from './testing/homeFixtures.js';

const { describe, expect, test } = jestGlobals;

const TURN_TOKENS = 100;
const BUDGET = 500;
const HOME_COUNT = 3;

/** A turn that is served by a home. */
interface Turn {
  readonly kind: 'turn';
  readonly home: number;
  readonly usedTokens: number;
  readonly isKept: boolean;
  /** A home whose response to the reservation was lost. */
  readonly lostResponseHome: number | undefined;
  /** A second home that receives the settlement. */
  readonly secondHome: number | undefined;
}

/** One step of a test run. */
type Step =
  | Turn
  | { readonly kind: 'crash' | 'release'; readonly home: number }
  | { readonly kind: 'outage' | 'lose-responses' | 'recover' | 'compact' | 'pause' };

const HOME = fastCheck.integer({ min: 0, max: HOME_COUNT - 1 });

const STEP: fastCheck.Arbitrary<Step> = fastCheck.oneof(
  {
    weight: 6,
    arbitrary: fastCheck.record({
      kind: fastCheck.constant('turn' as const),
      home: HOME,
      usedTokens: fastCheck.integer({ min: 0, max: TURN_TOKENS }),
      isKept: fastCheck.boolean(),
      lostResponseHome: fastCheck.option(HOME, { nil: undefined }),
      secondHome: fastCheck.option(HOME, { nil: undefined }),
    }),
  },
  {
    weight: 2,
    arbitrary: fastCheck.record({
      kind: fastCheck.constantFrom('crash' as const, 'release' as const),
      home: HOME,
    }),
  },
  {
    weight: 3,
    arbitrary: fastCheck.record({
      kind: fastCheck.constantFrom(
        'outage' as const,
        'lose-responses' as const,
        'recover' as const,
        'compact' as const,
        'pause' as const,
      ),
    }),
  },
);

describe('HomePartition', () => {
  test('grants no more than the budget, whichever homes serve and however the log fails', async () => {
    await fastCheck.assert(
      fastCheck.asyncProperty(
        fastCheck.array(STEP, { minLength: 5, maxLength: 25 }),
        async (steps) => {
          const run = createRun();
          for (const step of steps) await run.runStep(step);
          run.end();
          expect(run.grantedTokens()).toBeLessThanOrEqual(BUDGET);
        },
      ),
      { seed: 11, numRuns: 60 },
    );
  }, 60_000);
});

function createRun(): {
  runStep(step: Step): Promise<void>;
  end(): void;
  grantedTokens(): number;
} {
  const log = homeFixtures.createLog();
  let opened = 0;
  let calls = 0;
  let grantedTokens = 0;
  const open = (): homePartition.HomePartition => {
    opened += 1;
    return homeFixtures.createPartition({ log, producer: `home-${opened}` });
  };
  const homes = Array.from({ length: HOME_COUNT }, open);

  const runTurn = async ({
    lostResponseHome,
    home: index,
    isKept,
    usedTokens,
    secondHome,
  }: Turn): Promise<void> => {
    const home = homes[index]!;
    calls += 1;
    const call = `call-${calls}`;
    const request = { program: 'p', call, budgetTokens: BUDGET, mostTokens: TURN_TOKENS };
    if (lostResponseHome !== undefined) await homes[lostResponseHome]!.reserve(request);
    const granted = await home.reserve(request);
    if (granted.isErr) return;
    // When the record takes too long, the caller abandons the turn and no tokens are sent.
    const isCovered = granted.value.isCovered || (await coveredInTime(home, request));
    const tokens = isCovered ? usedTokens : 0;
    grantedTokens += tokens;
    const settlement = { program: 'p', call, tokens, isKept: isKept && isCovered };
    home.settle(settlement, 'here');
    if (secondHome !== undefined) homes[secondHome]!.settle(settlement, 'here');
  };

  const runStep = async (step: Step): Promise<void> => {
    switch (step.kind) {
      case 'turn':
        await runTurn(step);
        break;
      case 'crash':
        homes[step.home]!.dispose();
        homes[step.home] = open();
        break;
      case 'release':
        if (log.outage === undefined) await homes[step.home]!.release();
        homes[step.home]!.dispose();
        homes[step.home] = open();
        break;
      case 'outage':
        log.outage = keyedLog.LOG_FAILURES.UNAVAILABLE;
        break;
      case 'lose-responses':
        log.outage = undefined;
        log.losesAnswers = true;
        break;
      case 'recover':
        log.outage = undefined;
        log.losesAnswers = false;
        break;
      case 'compact':
        log.compact(homeFixtures.PARTITION);
        break;
      default:
        await homeFixtures.waitForWrites();
    }
  };

  return {
    runStep,
    end: () => homes.forEach((home) => home.dispose()),
    grantedTokens: () => grantedTokens,
  };
}

async function coveredInTime(
  home: homePartition.HomePartition,
  request: Parameters<homePartition.HomePartition['cover']>[0],
): Promise<boolean> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<boolean>((resolve) => {
    timer = setTimeout(() => resolve(false), 20);
  });
  const isCovered = await Promise.race([home.cover(request), timeout]);
  clearTimeout(timer);
  return isCovered;
}
