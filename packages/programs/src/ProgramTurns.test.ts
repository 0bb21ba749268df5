import * as errors from '@limpettack/errors';
import * as jestGlobals from '@jest/globals';
import * as trueMyth from 'true-myth';
import * as responseBuffer from './ResponseBuffer.js';
import * as programTurns from './ProgramTurns.js';
import type { Amount, ProgramState, RunningCall } from './Types.js';

const { expect, test } = jestGlobals;

test('charges the generated tokens of a turn whose record the journal rejects', async () => {
  const settled: Amount[] = [];
  const program = { program: 'p', turns: [] } as unknown as ProgramState;
  const usage = { promptTokens: 1, generatedTokens: 10, cachedTokens: 0 };
  const answer = { text: 'hello', target: 'engine', usage, serviceSeconds: 1 };
  const turns = new programTurns.ProgramTurns({
    shards: {
      owned: () => ({ state: { programs: new Map([['p', program]]) } }),
      append: async () => trueMyth.Result.err(errors.createFault('log-unavailable')),
    },
    scheduler: { recordService: () => undefined },
    directory: { noteCached: () => undefined },
    models: {
      run: async () => ({
        result: trueMyth.Result.ok(answer),
        wasSent: true,
        abandonedTokens: 2,
      }),
    },
    reservations: {
      reserve: async () => trueMyth.Result.ok(20),
      next: () => ({ tokens: 0, calls: 0 }),
      settle: async (_shard: number, _program: ProgramState, used: Amount) => {
        settled.push(used);
      },
    },
  } as unknown as programTurns.ProgramTurnsOptions);
  const call = {
    shard: 0,
    turn: 1,
    route: { defaultMaximumTokens: 20 },
    request: { requestId: 'r', call: { kind: 'model', messages: [], parameters: {} } },
  } as unknown as RunningCall;
  await turns.run(call, program, 'd', new responseBuffer.ResponseBuffer());
  expect(settled).toEqual([{ tokens: 12, calls: 1 }]);
});
