import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import type * as configuration from '@limpettack/configuration';
import * as lifetime from '@limpettack/lifetime';
import type * as scheduling from '@limpettack/scheduling';
import * as trueMyth from 'true-myth';
import type * as zod from 'zod';
import * as failures from './failures.js';
import * as fixtures from './targetFixtures.js';
import * as directories from './PoolTargetDirectory.js';
import type { TargetReader, TargetResult } from './Types.js';

const { describe, expect, test } = jestGlobals;

interface FakeEngine {
  isReachable: boolean;
  load: { running: number; waiting: number; ageMs: number; status: string };
  events: { sequence: number; kind: string; program: string; tokens: number }[];
  sessions: { program: string; tokens: number }[];
}

function createEngine(): FakeEngine {
  const load = { running: 0, waiting: 0, ageMs: 0, status: 'ready' };
  return { isReachable: true, load, events: [], sessions: [] };
}

class FakeReader implements TargetReader {
  public constructor(private readonly engines: Readonly<Record<string, FakeEngine>>) {}

  public async read<Document>(
    target: string,
    path: string,
    schema: zod.ZodType<Document>,
  ): Promise<TargetResult<Document>> {
    const engine = this.engines[target];
    if (!engine?.isReachable) return failures.failed('not-sent', 'The fake is down.');
    const after = Number(path.split('after=')[1]);
    const documents: Readonly<Record<string, unknown>> = {
      '/v1/load': engine.load,
      '/v1/sessions': { sessions: engine.sessions },
      [`/v1/cache/events?after=${after}`]: {
        events: engine.events.filter((event) => event.sequence > after),
        nextSequence: (engine.events.at(-1)?.sequence ?? 0) + 1,
      },
    };
    return trueMyth.Result.ok(schema.parse(documents[path]));
  }
}

async function createDirectory() {
  const engines = { one: createEngine(), two: createEngine() };
  const time = new clock.ManualClock();
  const changes = new lifetime.Emitter<configuration.ConfigurationState>();
  let state = fixtures.createState(['one', 'two']);
  const directory = new directories.PoolTargetDirectory({
    configuration: { current: () => state, onChange: changes.event },
    reader: new FakeReader(engines),
    clock: time,
    logger: fixtures.SILENT_LOGGER,
    random: () => 0.5,
  });
  const configure = (targets: readonly string[]): void => {
    state = fixtures.createState(targets);
    changes.fire(state);
  };
  await settle();
  return { configure, directory, engines, time };
}

function call(overrides: Partial<scheduling.CallDescription> = {}): scheduling.CallDescription {
  return {
    callId: 'call',
    pool: 'pool',
    workspace: 'quito',
    program: 'program',
    promptTokens: 1_000,
    expectedTokens: 10,
    attainedSeconds: 0,
    deadline: Infinity,
    excluded: new Set(),
    ...overrides,
  };
}

function settle(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

async function advance(time: clock.ManualClock, spanMs: number): Promise<void> {
  for (let passed = 0; passed < spanMs; passed += 100) {
    time.advance(100);
    await settle();
  }
}

function names(directory: directories.PoolTargetDirectory): readonly string[] {
  return directory
    .candidates(call())
    .map((candidate) => candidate.name)
    .sort();
}

describe('PoolTargetDirectory', () => {
  test('a leaving target stops getting work within three seconds, and a removed one at once', async () => {
    const { configure, directory, engines, time } = await createDirectory();
    expect(names(directory)).toEqual(['one', 'two']);
    engines.one.load.status = 'leaving';
    await advance(time, 2_900);
    expect(names(directory)).toEqual(['two']);
    configure(['one']);
    expect(directory.mayTakeWork('two')).toBe(false);
    await directory.dispose();
  });

  test('a status expires if it is not renewed, for example after a pause of the process', async () => {
    const { directory, time } = await createDirectory();
    time.advance(60_000);
    expect(names(directory)).toEqual([]);
    await advance(time, 1_200);
    expect(names(directory)).toEqual(['one', 'two']);
    await directory.dispose();
  });

  test('a crashed target is ejected, and used again once it responds', async () => {
    const { directory, engines, time } = await createDirectory();
    engines.one.isReachable = false;
    directory.report({ target: 'one', failure: 'died', totalMs: 5 });
    expect(names(directory)).toEqual(['two']);
    await advance(time, 10_000);
    expect(names(directory)).toEqual(['two']);
    engines.one.isReachable = true;
    await advance(time, 16_000);
    expect(names(directory)).toEqual(['one', 'two']);
    await directory.dispose();
  });

  test('a target whose calls fail is ejected although its status is ready', async () => {
    const { directory } = await createDirectory();
    [1, 2, 3].forEach(() => directory.report({ target: 'one', failure: 'timed-out', totalMs: 5 }));
    await settle();
    expect(names(directory)).toEqual(['two']);
    directory.report({ target: 'two', failure: 'cancelled', totalMs: 5 });
    const [two] = directory.candidates(call());
    expect(two?.concurrencyLimit).toBe(16);
    await directory.dispose();
  });

  test('a target without calls does not look cheaper than one with calls', async () => {
    const { directory } = await createDirectory();
    // Prefill takes 1 ms per token and decoding takes 30 ms per token, also for the short prompt.
    [1_000, 40].forEach((uncached) => {
      const firstTokenMs = uncached + 30;
      const usage = { promptTokens: uncached, cachedTokens: 0, generatedTokens: 5 };
      directory.report({ target: 'one', firstTokenMs, totalMs: firstTokenMs + 120, usage });
    });
    const [one, two] = directory.candidates(call());
    expect(two?.prefillMsPerToken).toBe(one?.prefillMsPerToken);
    expect(two?.decodeMsPerToken).toBe(one?.decodeMsPerToken);
    expect(one?.prefillMsPerToken).toBeCloseTo(1);
    expect(one?.decodeMsPerToken).toBeCloseTo(30);
  });

  test('a delayed load report is corrected by own calls', async () => {
    const { directory, engines, time } = await createDirectory();
    const running = directory.begin(call(), 'one');
    engines.one.load = { running: 5, waiting: 1, ageMs: 0, status: 'ready' };
    await advance(time, 1_000);
    const load = () => {
      const one = directory.candidates(call()).find((candidate) => candidate.name === 'one');
      return [one?.ownInFlight, one?.otherInFlight];
    };
    expect(load()).toEqual([1, 5]);
    await running.dispose();
    // The delayed report still includes the call of this process, which has ended since.
    engines.one.load = { running: 6, waiting: 0, ageMs: 1_500, status: 'ready' };
    await advance(time, 1_000);
    expect(load()).toEqual([0, 5]);
    await directory.dispose();
  });

  test('cache hints follow the events, and are replaced by the sessions after a gap', async () => {
    const { directory, engines, time } = await createDirectory();
    const cached = (program: string) =>
      directory.candidates(call({ program })).find((candidate) => candidate.name === 'one')
        ?.cachedTokens;
    engines.one.events = [{ sequence: 1, kind: 'stored', program: 'a', tokens: 70 }];
    engines.one.sessions = [{ program: 'a', tokens: 70 }];
    await advance(time, 1_200);
    expect(cached('a')).toBe(70);
    engines.one.events.push({ sequence: 3, kind: 'stored', program: 'b', tokens: 80 });
    engines.one.sessions = [{ program: 'b', tokens: 80 }];
    await advance(time, 1_200);
    expect([cached('a'), cached('b')]).toEqual([0, 80]);
    await directory.dispose();
  });
});
