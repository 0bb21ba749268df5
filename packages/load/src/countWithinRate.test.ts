import * as jestGlobals from '@jest/globals';

import type { CallRecord } from './Types.js';
import * as countWithinRate from './countWithinRate.js';
import * as drawArrivals from './drawArrivals.js';
import * as scenarios from './scenarios.js';

const { describe, expect, test } = jestGlobals;

function createScenario(): scenarios.Scenario {
  return scenarios.SCENARIO.parse({
    name: 'small',
    durationMs: 20_000,
    callDeadlineMs: 1_000,
    fleet: {
      vms: 1,
      failureDomains: ['kochi'],
      engines: 1,
      services: 1,
      shardCount: 1,
      appendsPerSecond: 30,
    },
    routes: { models: 'models', reads: 'reads', orders: 'orders' },
    programs: {
      question: {
        turns: [1, 3],
        firstPromptTokens: [10, 20],
        promptTokens: [5, 10],
        generatedTokens: [1, 4],
        pauseMs: [0, 10],
      },
    },
    workspaces: ['parish', 'family'].map((name) => ({
      name,
      programsPerSecond: 10,
      ratePerSecond: 2,
      burst: 3,
      mix: { question: 1 },
    })),
    burst: { workspace: 'family', factor: 5, fromMs: 0, untilMs: 10_000 },
  });
}

function createCall(sentAtMs: number, refusal?: string): CallRecord {
  const status = refusal === undefined ? 200 : 429;
  return { workspace: 'parish', sentAtMs, status, ...(refusal === undefined ? {} : { refusal }) };
}

describe('countWithinRate', () => {
  test('counts the calls that an ideal bucket admits, and how many fewer were admitted', () => {
    const calls = [
      ...[0, 0, 0].map((at) => createCall(at)),
      // The bucket is empty, so this refusal is correct. After half a second it has a token again.
      createCall(0, 'rate-limited'),
      createCall(500, 'overloaded'),
    ];
    const counted = countWithinRate.countWithinRate(createScenario(), calls);
    expect(counted).toEqual({ admittedByIdeal: 4, refused: 1 });
  });
});

describe('drawArrivals', () => {
  test('draws the same programs for a seed, others for another seed, and more in a burst', () => {
    const scenario = createScenario();
    const first = drawArrivals.drawArrivals(scenario, 1);
    expect(drawArrivals.drawArrivals(scenario, 1)).toEqual(first);
    expect(drawArrivals.drawArrivals(scenario, 2)).not.toEqual(first);
    const count = (workspace: string) =>
      first.filter((arrival) => arrival.workspace === workspace).length;
    expect(count('parish')).toBeGreaterThan(140);
    expect(count('parish')).toBeLessThan(260);
    expect(count('family')).toBeGreaterThan(2 * count('parish'));
  });
});
