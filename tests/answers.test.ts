import * as clock from '@limpettack/clock';
import * as testKit from '@limpettack/test-kit';
import * as jestGlobals from '@jest/globals';
import * as fleetViews from './fleetViews.js';

const { afterAll, afterEach, beforeAll, describe, expect, test } = jestGlobals;

const { KEY, MODEL_ROUTE, SERVICE_ROUTE } = testKit.FLEET_NAMES;

const CALLS = 90;
const CALL_GAP_MS = 10;
const TOKENS = 12;
const EVENTS_BEFORE_DROP = 3;
const BROKEN_AFTER_BYTES = [100, 400, 900, 2_000, 5_000, 9_000];
const DEADLINE_MS = 12_000;

const time = new clock.SystemClock();
const caller = new testKit.Caller(KEY, MODEL_ROUTE);
let fleet: testKit.Fleet;

beforeAll(async () => {
  fleet = await testKit.startFleet({
    vms: 3,
    failureDomains: ['kochi', 'thrissur', 'kottayam'],
    engines: 2,
    services: 2,
    engineOptions: { 'decode-ms-per-token': 5 },
    serviceOptions: { 'service-time-ms': 40 },
    proxies: { peers: true, targets: true },
    settings: { journal: { shardCount: 6 } },
  });
  await fleetViews.untilPaired(fleet);
});

afterEach(async () => {
  await Promise.all(proxies().map((proxy) => proxy.restore()));
  await fleetViews.untilPaired(fleet);
});

afterAll(() => fleet.dispose());

function proxies(): readonly testKit.FaultProxy[] {
  return [...fleet.vms.map((vm) => vm.peersProxy), ...fleet.targets.map((target) => target.proxy)];
}

/** The text of the whole answer to one question of its own begins with its digest. */
function isOwnText(question: string, text: string): boolean {
  const digest = testKit.digestOfHistory([{ role: 'user', content: question }]);
  return text.startsWith(`digest=${digest};`) && text.split(' ').length === TOKENS;
}

/** Makes a whole call, a streamed one or one of a service; says what is wrong with its answer. */
async function call(index: number, vm: testKit.FleetVm, prefix: string): Promise<string> {
  const text = `${prefix} ${index}`;
  const place = { text, maximumTokens: TOKENS, deadlineMs: DEADLINE_MS };
  if (index % 3 === 0) {
    const answer = await caller.chat(vm, place);
    const isRight = answer.status !== 200 || isOwnText(text, testKit.contentOf(answer));
    return isRight ? resultOf(answer) : `wrong: ${text}: ${answer.text}`;
  }
  if (index % 3 === 1) return readStream(vm, place);
  const options = { route: SERVICE_ROUTE, body: text, deadlineMs: DEADLINE_MS };
  const answer = await caller.service(vm, options);
  const isRight = answer.status !== 200 || bodyOf(answer) === text;
  return isRight ? resultOf(answer) : `wrong: ${text}: ${answer.text}`;
}

async function readStream(vm: testKit.FleetVm, options: testKit.ChatOptions): Promise<string> {
  let text = '';
  let isDone = false;
  try {
    for await (const event of caller.stream(vm, options)) {
      text += testKit.textOfEvent(event);
      isDone ||= event.data === '[DONE]';
    }
  } catch {
    return isDone ? `wrong: broken after its end: ${text}` : 'broken';
  }
  // A stream that does not tell its end is known to its caller as broken.
  if (!isDone) return 'broken';
  return isOwnText(options.text, text) ? 'whole' : `wrong: ${options.text}: ${text}`;
}

function resultOf(answer: testKit.CallerAnswer): string {
  return answer.status === 200 ? 'whole' : 'broken';
}

function bodyOf(answer: testKit.CallerAnswer): string {
  return (JSON.parse(answer.text) as { body: string }).body;
}

/** Makes calls through all VMs while a fault works; returns how many were whole. */
async function expectOwnAnswers(prefix: string, fault: () => Promise<void>): Promise<number> {
  const pick = fleetViews.pickInTurn(fleet.vms);
  const calls = Array.from({ length: CALLS }, async (_, index) => {
    await time.sleep(index * CALL_GAP_MS);
    return call(index, pick(), prefix);
  });
  const [results] = await Promise.all([Promise.all(calls), fault()]);
  const count = (what: string) => results.filter((result) => result === what).length;
  process.stdout.write(
    `answers: ${prefix}: whole ${count('whole')}, broken off or refused ${count('broken')}\n`,
  );
  expect(results.filter((result) => result.startsWith('wrong'))).toEqual([]);
  return count('whole');
}

/** Reads some events of a stream and drops the connection. */
async function dropAfterSome(vm: testKit.FleetVm, place: testKit.ChatOptions): Promise<void> {
  let count = 0;
  for await (const event of caller.stream(vm, place)) {
    expect(event.data).not.toBe('[DONE]');
    count += 1;
    if (count === EVENTS_BEFORE_DROP) return;
  }
  throw new Error('The stream ended before it was dropped');
}

describe('a caller receives the whole answer to its own request', () => {
  test('when answers cross', async () => {
    expect(await expectOwnAnswers('crossed', async () => undefined)).toBe(CALLS);
  });

  test('when answers come late on either side of the entry', async () => {
    const whole = await expectOwnAnswers('late', async () => {
      proxies().forEach((proxy, index) => proxy.delay(30 + 60 * (index % 3)));
    });
    expect(whole).toBe(CALLS);
  });

  test('when earlier callers have given up and their answers come after all', async () => {
    proxies().forEach((proxy) => proxy.delay(150));
    const impatient = Array.from({ length: 30 }, (_, index) =>
      caller.chat(fleet.vm(index % 3), { text: `gone ${index}`, timeoutMs: 200 + 10 * index }),
    );
    const whole = await expectOwnAnswers('after late ones', async () => undefined);
    await Promise.all(impatient);
    expect(whole).toBe(CALLS);
  });

  test('when answers are broken off between targets, home and entry', async () => {
    const whole = await expectOwnAnswers('broken off', async () => {
      for (const bytes of BROKEN_AFTER_BYTES) {
        proxies().forEach((proxy) => proxy.truncateAfter(bytes));
        await time.sleep(150);
      }
      await Promise.all(proxies().map((proxy) => proxy.restore()));
    });
    expect(whole).toBeGreaterThan(0);
  });

  test('when the same turn is asked for several times at once', async () => {
    const program = await caller.openProgram(fleet.vm(0));
    const place = { program, turn: 1, text: 'same', maximumTokens: TOKENS };
    const answers = await Promise.all(
      Array.from({ length: 9 }, (_, index) => caller.chat(fleet.vm(index % 3), place)),
    );
    const contents = answers.map(testKit.contentOf);
    expect(new Set(contents).size).toBe(1);
    expect(isOwnText('same', contents[0] ?? '')).toBe(true);
  });

  test('when callers drop their connections and fetch the turns through another VM', async () => {
    const places = await Promise.all(
      Array.from({ length: 12 }, async (_, index) => ({
        program: await caller.openProgram(fleet.vm(index % 3)),
        turn: 1,
        text: `dropped ${index}`,
        maximumTokens: TOKENS,
      })),
    );
    await Promise.all(places.map((place, index) => dropAfterSome(fleet.vm(index % 3), place)));
    const fetched = await Promise.all(
      places.map(({ program }, index) =>
        testKit.waitFor(
          async () => {
            const path = `/v1/programs/${program}/turns/1`;
            const answer = await caller.send(fleet.vm((index + 1) % 3), 'GET', path);
            return answer.status === 200 ? testKit.contentOf(answer) : undefined;
          },
          { what: `turn 1 of ${program}` },
        ),
      ),
    );
    const wrong = fetched.filter((text, index) => !isOwnText(places[index]?.text ?? '', text));
    expect(wrong).toEqual([]);
  });
});
