/**
 * Measures what the way through entry and home adds: time to the first token and requests a second,
 * through two VMs and straight to the engine in one run, and many streams at once on one VM.
 */
import * as perfHooks from 'node:perf_hooks';
import * as testKit from '@limpettack/test-kit';
import * as hdr from 'hdr-histogram-js';
import * as undici from 'undici';

const WARM_UP_CALLS = 100;
const CALLS = 600;
const TOKENS = 8;
const CONCURRENT_CALLERS = 16;
const THROUGHPUT_CALLS = 2_000;
const STREAMS_AT_ONCE = 1_000;
const STREAM_TOKENS = 50;
const STREAM_DECODE_MS = 40;
const MICROSECONDS_PER_MS = 1_000;

const agent = new undici.Agent({ connections: STREAMS_AT_ONCE, pipelining: 1 });

/** One streamed call; resolves with its time to the first token, in milliseconds. */
async function callStreamed(url, tokens, headers = {}) {
  const startedAt = perfHooks.performance.now();
  const response = await undici.request(`${url}/v1/chat/completions`, {
    method: 'POST',
    dispatcher: agent,
    headers: { 'content-type': 'application/json', ...headers },
    body: JSON.stringify({
      model: testKit.FLEET_NAMES.MODEL_ROUTE,
      messages: [{ role: 'user', content: 'hello there' }],
      max_tokens: tokens,
      stream: true,
    }),
  });
  if (response.statusCode !== 200) throw new Error(await response.body.text());
  let firstTokenMs;
  let text = '';
  for await (const part of response.body) {
    firstTokenMs ??= perfHooks.performance.now() - startedAt;
    text = (text + part).slice(-32);
  }
  if (!text.trimEnd().endsWith('[DONE]')) throw new Error('A stream broke off.');
  return firstTokenMs;
}

function createHistogram() {
  return hdr.build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000 });
}

function quantile(histogram, percentile) {
  return (histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS).toFixed(2);
}

/** Calls one after the other, direct and relayed in turn, so that both meet the same machine. */
async function measureFirstToken(ways) {
  const histograms = ways.map(() => createHistogram());
  for (let call = 0; call < WARM_UP_CALLS + CALLS; call += 1) {
    for (const [index, way] of ways.entries()) {
      const spanMs = await way.call(TOKENS);
      if (call >= WARM_UP_CALLS) {
        histograms[index].recordValue(Math.round(spanMs * MICROSECONDS_PER_MS));
      }
    }
  }
  ways.forEach((way, index) => {
    const [median, high] = [50, 99].map((percentile) => quantile(histograms[index], percentile));
    console.log(`first token, ${way.name}: median ${median} ms, 99th percentile ${high} ms`);
  });
  const added = quantile(histograms[1], 50) - quantile(histograms[0], 50);
  console.log(`added at the median: ${added.toFixed(2)} ms (aim: at most 4 ms)`);
}

async function measureThroughput(way) {
  const startedAt = perfHooks.performance.now();
  let left = THROUGHPUT_CALLS;
  const run = async () => {
    while (left > 0) {
      left -= 1;
      await way.call(TOKENS);
    }
  };
  await Promise.all(Array.from({ length: CONCURRENT_CALLERS }, run));
  return (THROUGHPUT_CALLS * 1_000) / (perfHooks.performance.now() - startedAt);
}

async function measureStreams(way) {
  const startedAt = perfHooks.performance.now();
  const results = await Promise.allSettled(
    Array.from({ length: STREAMS_AT_ONCE }, () => way.call(STREAM_TOKENS)),
  );
  const whole = results.filter((result) => result.status === 'fulfilled').length;
  const spanMs = perfHooks.performance.now() - startedAt;
  console.log(
    `${STREAMS_AT_ONCE} streams at once, ${way.name}: ${whole} whole, all ended after ` +
      `${spanMs.toFixed(0)} ms (the engine alone needs ${STREAM_TOKENS * STREAM_DECODE_MS} ms)`,
  );
}

async function startFleet(engineOptions) {
  return testKit.startFleet({
    vms: 2,
    failureDomains: ['kochi', 'thrissur'],
    engineOptions: {
      slots: 4_000,
      'prefill-ms-per-token': 0,
      'batch-slowdown': 0,
      ...engineOptions,
    },
    settings: { journal: { shardCount: 4 } },
    tables: (targets) => {
      const tables = testKit.defaultTables(targets);
      const workspace = { name: testKit.FLEET_NAMES.WORKSPACE, ratePerSecond: 1e6, burst: 1e6 };
      return { ...tables, workspaces: [workspace] };
    },
  });
}

/** The ways to the engine: direct; through one VM; through two VMs, within a program. */
async function createWays(fleet) {
  const headers = { authorization: `Bearer ${testKit.FLEET_NAMES.KEY}` };
  const engineUrl = fleet.target('engine-1').row.url;
  const caller = new testKit.Caller(testKit.FLEET_NAMES.KEY, testKit.FLEET_NAMES.MODEL_ROUTE);
  const programFor = async () => {
    for (;;) {
      const program = await caller.openProgram(fleet.vm(0));
      const shown = await caller.send(fleet.vm(0), 'GET', `/v1/programs/${program}`);
      if (JSON.parse(shown.text).owner === fleet.vm(1).name) return program;
    }
  };
  return {
    direct: { name: 'direct', call: (tokens) => callStreamed(engineUrl, tokens) },
    oneVm: {
      name: 'through one VM',
      call: (tokens) => callStreamed(fleet.vm(0).url, tokens, headers),
    },
    twoVms: {
      name: 'through entry and home on two VMs, in a program',
      call: async (tokens) => {
        const program = await programFor();
        return callStreamed(fleet.vm(0).url, tokens, {
          ...headers,
          'limpettack-program': program,
        });
      },
    },
  };
}

const quick = await startFleet({ 'decode-ms-per-token': 1 });
const ways = await createWays(quick);
await measureFirstToken([ways.direct, ways.twoVms]);
await measureFirstToken([ways.direct, ways.oneVm]);
const direct = await measureThroughput(ways.direct);
const relayed = await measureThroughput(ways.oneVm);
console.log(
  `requests a second: direct ${direct.toFixed(0)}, through one VM ${relayed.toFixed(0)}, ` +
    `ratio ${(relayed / direct).toFixed(2)}`,
);
await quick.dispose();
const slow = await startFleet({ 'decode-ms-per-token': STREAM_DECODE_MS });
await measureStreams((await createWays(slow)).oneVm);
await slow.dispose();
await agent.close();
