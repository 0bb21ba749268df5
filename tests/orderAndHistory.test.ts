import * as jestGlobals from '@jest/globals';
import * as testKit from '@limpettack/test-kit';

const { afterAll, beforeAll, describe, expect, test } = jestGlobals;

const PAUSE_BEYOND_TAKEOVER_MS = 10_000;
const FAILURE_DOMAINS = ['quito-norte', 'cumbaya', 'tumbaco'];

let fleet: testKit.Fleet;
const caller = new testKit.Caller(testKit.FLEET_NAMES.KEY, testKit.FLEET_NAMES.MODEL_ROUTE);

beforeAll(async () => {
  fleet = await testKit.startFleet({
    vms: 3,
    failureDomains: FAILURE_DOMAINS,
    engines: 2,
    engineOptions: { 'decode-ms-per-token': 10 },
    settings: { journal: { shardCount: 6 } },
  });
});

afterAll(() => fleet.dispose());

/** Returns a function that picks the VMs in round-robin order. */
function createRoundRobinPicker(): () => testKit.FleetVm {
  let next = 0;
  return () => {
    next += 1;
    return fleet.vm(next % fleet.vms.length);
  };
}

/** Returns the home of a program: the VM that owns its shard. */
async function homeOf(program: string): Promise<testKit.FleetVm> {
  const responses = await Promise.all(
    fleet.vms.map((vm) => caller.send(vm, 'GET', `/v1/programs/${program}`)),
  );
  const found = responses.find((response) => response.status === 200);
  const { owner } = JSON.parse(found?.text ?? '{}') as { owner?: string };
  const vm = fleet.vms.find((candidate) => candidate.name === owner);
  if (vm === undefined) throw new Error(`${program} has no home`);
  return vm;
}

describe('order', () => {
  test('turns that are sent concurrently, out of order and repeatedly run in order and once each', async () => {
    const program = await caller.openProgram(fleet.vm(0));
    const turns = [3, 1, 2, 2, 1, 3];
    const responses = await Promise.all(
      turns.map((turn, index) =>
        caller.chat(fleet.vm(index % 3), { program, turn, text: `turn ${turn}` }),
      ),
    );
    expect(responses.map((response) => response.status)).toEqual(turns.map(() => 200));
    const contents = new Map<number, string>();
    responses.forEach((response, index) => {
      const turn = turns[index] ?? 0;
      const content = testKit.contentOf(response);
      expect(contents.get(turn) ?? content).toBe(content);
      contents.set(turn, content);
    });
    const history = [1, 2, 3].flatMap((turn) => [
      { role: 'user', content: `turn ${turn}` } as const,
      { role: 'assistant', content: contents.get(turn) ?? '' } as const,
    ]);
    const digest = testKit.digestOfHistory(history.slice(0, -1));
    expect(contents.get(3)).toContain(`digest=${digest};`);
  });

  test('a turn that skips an earlier one is refused as not run', async () => {
    const program = await caller.openProgram(fleet.vm(0));
    const response = await caller.chat(fleet.vm(1), { program, turn: 2, text: 'too early' });
    const refusal = testKit.refusalOf(response);
    expect(refusal).toMatchObject({ kind: 'turn-out-of-order', run: 'not-run', lastTurn: 0 });
    expect(refusal.retryAfterMs).toBeGreaterThan(0);
  });

  test('a turn that is sent again with different content is refused', async () => {
    const program = await caller.openProgram(fleet.vm(0));
    await caller.chat(fleet.vm(0), { program, turn: 1, text: 'first' });
    const response = await caller.chat(fleet.vm(1), { program, turn: 1, text: 'other' });
    expect(testKit.refusalOf(response)).toMatchObject({ kind: 'turn-mismatch', run: 'not-run' });
  });
});

describe('history', () => {
  test('survives when its home is killed between turns', async () => {
    const runner = await testKit.ProgramRunner.open(caller, createRoundRobinPicker());
    await runner.turn('one');
    await runner.turn('two');
    const home = await homeOf(runner.program);
    home.process.kill('SIGKILL');
    await home.process.exited;
    await runner.turn('three');
    await home.start();
    await fleet.untilReady();
    await runner.turn('four');
    expect(runner.turns).toBe(4);
  });

  test('survives when its home is killed during a turn', async () => {
    const runner = await testKit.ProgramRunner.open(caller, createRoundRobinPicker());
    await runner.turn('one');
    const home = await homeOf(runner.program);
    const others = fleet.vms.filter((vm) => vm !== home);
    const entry = others[0] ?? fleet.vm(0);
    const callOptions = { program: runner.program, turn: 2, text: 'two', maximumTokens: 100 };
    const received: testKit.StreamEvent[] = [];
    for await (const event of caller.stream(entry, callOptions)) {
      received.push(event);
      if (received.length === 5) home.process.kill('SIGKILL');
    }
    // The engine's response continues through the new home without an interruption for the caller.
    expect(received.at(-1)?.data).toBe('[DONE]');
    const text = received.map(testKit.textOfEvent).join('');
    const again = await caller.send(entry, 'GET', `/v1/programs/${runner.program}/turns/2`);
    expect(testKit.contentOf(again)).toBe(text);
    await home.start();
    await fleet.untilReady();
  });

  test('is not changed by a home that wakes after its shard was taken over', async () => {
    const runner = await testKit.ProgramRunner.open(caller, createRoundRobinPicker());
    await runner.turn('one');
    const home = await homeOf(runner.program);
    home.process.pause();
    const pause = new testKit.TestTimer(PAUSE_BEYOND_TAKEOVER_MS);
    await runner.turn('two');
    await pause.untilElapsed();
    home.process.resume();
    const responsesFromFormerHome = await Promise.all(
      [2, 3].map((turn) =>
        caller.chat(home, {
          program: runner.program,
          turn,
          text: turn === 2 ? 'two' : 'three',
        }),
      ),
    );
    expect(responsesFromFormerHome.map((response) => response.status)).toEqual([200, 200]);
    await runner.turn('three');
    await runner.turn('four');
    expect(runner.turns).toBe(4);
  });
});
