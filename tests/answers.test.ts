import * as clock from '@limpettack/clock';
import * as testKit from '@limpettack/test-kit';
import * as jestGlobals from '@jest/globals';
import * as fleetHelpers from './fleetHelpers.js';

const { afterAll, afterEach, beforeAll, describe, expect, test } = jestGlobals;

const { KEY, MODEL_ROUTE, SERVICE_ROUTE } = testKit.FLEET_NAMES;

const CALLS = 90;
const CALL_INTERVAL_MS = 10;
const TOKENS = 12;
const EVENTS_BEFORE_DISCONNECT = 3;
const TRUNCATION_POINTS_BYTES = [100, 400, 900, 2_000, 5_000, 9_000];
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
  await fleetHelpers.untilStandbysReady(fleet);
});

afterEach(async () => {
  await Promise.all(proxies().map((proxy) => proxy.restore()));
  await fleetHelpers.untilStandbysReady(fleet);
});

afterAll(() => fleet.dispose());

function proxies(): readonly testKit.FaultProxy[] {
  return [...fleet.vms.map((vm) => vm.peersProxy), ...fleet.targets.map((target) => target.proxy)];
}

/** Whether a text is the complete response to a question: its digest and all of its tokens. */
function isExpectedText(question: string, text: string): boolean {
  const digest = testKit.digestOfHistory([{ role: 'user', content: question }]);
  return text.startsWith(`digest=${digest};`) && text.split(' ').length === TOKENS;
}

/**
 * Makes a non-streaming, a streaming or a service call, depending on `index % 3`. Returns `whole`,
 * `broken`, or a text that begins with `wrong` and contains the response.
 */
async function makeCall(index: number, vm: testKit.FleetVm, prefix: string): Promise<string> {
  const text = `${prefix} ${index}`;
  const callOptions = { text, maximumTokens: TOKENS, deadlineMs: DEADLINE_MS };
  if (index % 3 === 0) {
    const response = await caller.chat(vm, callOptions);
    const isCorrect = response.status !== 200 || isExpectedText(text, testKit.contentOf(response));
    return isCorrect ? describeResult(response) : `wrong: ${text}: ${response.text}`;
  }
  if (index % 3 === 1) return readStream(vm, callOptions);
  const options = { route: SERVICE_ROUTE, body: text, deadlineMs: DEADLINE_MS };
  const response = await caller.service(vm, options);
  const isCorrect = response.status !== 200 || bodyOf(response) === text;
  return isCorrect ? describeResult(response) : `wrong: ${text}: ${response.text}`;
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
  // A caller recognizes an interrupted stream by its missing end event.
  if (!isDone) return 'broken';
  return isExpectedText(options.text, text) ? 'whole' : `wrong: ${options.text}: ${text}`;
}

function describeResult(response: testKit.CallerResponse): string {
  return response.status === 200 ? 'whole' : 'broken';
}

function bodyOf(response: testKit.CallerResponse): string {
  return (JSON.parse(response.text) as { body: string }).body;
}

/**
 * Makes calls through all VMs during a fault and checks that no response is wrong. Returns the
 * number of complete responses.
 */
async function expectMatchingResponses(
  prefix: string,
  fault: () => Promise<void>,
): Promise<number> {
  const pick = fleetHelpers.createRoundRobinPicker(fleet.vms);
  const calls = Array.from({ length: CALLS }, async (_, index) => {
    await time.sleep(index * CALL_INTERVAL_MS);
    return makeCall(index, pick(), prefix);
  });
  const [results] = await Promise.all([Promise.all(calls), fault()]);
  const count = (what: string) => results.filter((result) => result === what).length;
  process.stdout.write(
    `answers: ${prefix}: whole ${count('whole')}, broken off or refused ${count('broken')}\n`,
  );
  expect(results.filter((result) => result.startsWith('wrong'))).toEqual([]);
  return count('whole');
}

/** Reads some events of a stream and then drops the connection. */
async function dropConnectionMidStream(
  vm: testKit.FleetVm,
  callOptions: testKit.ChatOptions,
): Promise<void> {
  let count = 0;
  for await (const event of caller.stream(vm, callOptions)) {
    expect(event.data).not.toBe('[DONE]');
    count += 1;
    if (count === EVENTS_BEFORE_DISCONNECT) return;
  }
  throw new Error('The stream ended before it was dropped');
}

describe('a caller receives the complete response to its own request', () => {
  test('when calls run concurrently', async () => {
    expect(await expectMatchingResponses('crossed', async () => undefined)).toBe(CALLS);
  });

  test('when responses are delayed on both sides of the entry VM', async () => {
    const completeCount = await expectMatchingResponses('late', async () => {
      proxies().forEach((proxy, index) => proxy.delay(30 + 60 * (index % 3)));
    });
    expect(completeCount).toBe(CALLS);
  });

  test('when responses to callers that have given up still arrive', async () => {
    proxies().forEach((proxy) => proxy.delay(150));
    const abandoned = Array.from({ length: 30 }, (_, index) =>
      caller.chat(fleet.vm(index % 3), { text: `gone ${index}`, timeoutMs: 200 + 10 * index }),
    );
    const completeCount = await expectMatchingResponses('after late ones', async () => undefined);
    await Promise.all(abandoned);
    expect(completeCount).toBe(CALLS);
  });

  test('when responses are truncated between targets, home and entry VM', async () => {
    const completeCount = await expectMatchingResponses('broken off', async () => {
      for (const bytes of TRUNCATION_POINTS_BYTES) {
        proxies().forEach((proxy) => proxy.truncateAfter(bytes));
        await time.sleep(150);
      }
      await Promise.all(proxies().map((proxy) => proxy.restore()));
    });
    expect(completeCount).toBeGreaterThan(0);
  });

  test('when the same turn is requested several times at once', async () => {
    const program = await caller.openProgram(fleet.vm(0));
    const callOptions = { program, turn: 1, text: 'same', maximumTokens: TOKENS };
    const responses = await Promise.all(
      Array.from({ length: 9 }, (_, index) => caller.chat(fleet.vm(index % 3), callOptions)),
    );
    const contents = responses.map(testKit.contentOf);
    expect(new Set(contents).size).toBe(1);
    expect(isExpectedText('same', contents[0] ?? '')).toBe(true);
  });

  test('when callers drop their connections and fetch the turns through another VM', async () => {
    const turnCalls = await Promise.all(
      Array.from({ length: 12 }, async (_, index) => ({
        program: await caller.openProgram(fleet.vm(index % 3)),
        turn: 1,
        text: `dropped ${index}`,
        maximumTokens: TOKENS,
      })),
    );
    await Promise.all(
      turnCalls.map((callOptions, index) =>
        dropConnectionMidStream(fleet.vm(index % 3), callOptions),
      ),
    );
    const fetched = await Promise.all(
      turnCalls.map(({ program }, index) =>
        testKit.waitFor(
          async () => {
            const path = `/v1/programs/${program}/turns/1`;
            const response = await caller.send(fleet.vm((index + 1) % 3), 'GET', path);
            return response.status === 200 ? testKit.contentOf(response) : undefined;
          },
          { what: `turn 1 of ${program}` },
        ),
      ),
    );
    const wrong = fetched.filter(
      (text, index) => !isExpectedText(turnCalls[index]?.text ?? '', text),
    );
    expect(wrong).toEqual([]);
  });
});
