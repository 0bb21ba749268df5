/**
 * Measures the overhead of the path through the entry VM and the home, the VM that owns the shard
 * of the program: time to the first token and requests per second, through VMs and directly to the
 * engine in the same run, and many concurrent streams on one VM.
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
const CONCURRENT_STREAMS = 1_000;
const STREAM_TOKENS = 50;
const STREAM_DECODE_MS = 40;
const MICROSECONDS_PER_MS = 1_000;

const agent = new undici.Agent({ connections: CONCURRENT_STREAMS, pipelining: 1 });

/** Makes a streamed call and returns its time to the first token, in milliseconds. */
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
  for await (const chunk of response.body) {
    firstTokenMs ??= perfHooks.performance.now() - startedAt;
    text = (text + chunk).slice(-32);
  }
  if (!text.trimEnd().endsWith('[DONE]')) throw new Error('A stream ended without [DONE].');
  return firstTokenMs;
}

function createHistogram() {
  return hdr.build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000 });
}

function formatPercentile(histogram, percentile) {
  return (histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS).toFixed(2);
}

/** Alternates between the paths, one call at a time, so that both run under the same load. */
async function measureFirstToken(paths) {
  const histograms = paths.map(() => createHistogram());
  for (let call = 0; call < WARM_UP_CALLS + CALLS; call += 1) {
    for (const [index, path] of paths.entries()) {
      const firstTokenMs = await path.call(TOKENS);
      if (call >= WARM_UP_CALLS) {
        histograms[index].recordValue(Math.round(firstTokenMs * MICROSECONDS_PER_MS));
      }
    }
  }
  paths.forEach((path, index) => {
    const [median, high] = [50, 99].map((percentile) =>
      formatPercentile(histograms[index], percentile),
    );
    console.log(`first token, ${path.name}: median ${median} ms, 99th percentile ${high} ms`);
  });
  const added = formatPercentile(histograms[1], 50) - formatPercentile(histograms[0], 50);
  console.log(`added at the median: ${added.toFixed(2)} ms (goal: at most 4 ms)`);
}

async function measureThroughput(path) {
  const startedAt = perfHooks.performance.now();
  let remainingCalls = THROUGHPUT_CALLS;
  const worker = async () => {
    while (remainingCalls > 0) {
      remainingCalls -= 1;
      await path.call(TOKENS);
    }
  };
  await Promise.all(Array.from({ length: CONCURRENT_CALLERS }, worker));
  return (THROUGHPUT_CALLS * 1_000) / (perfHooks.performance.now() - startedAt);
}

async function measureStreams(path) {
  const startedAt = perfHooks.performance.now();
  const results = await Promise.allSettled(
    Array.from({ length: CONCURRENT_STREAMS }, () => path.call(STREAM_TOKENS)),
  );
  const completeCount = results.filter((result) => result.status === 'fulfilled').length;
  const durationMs = perfHooks.performance.now() - startedAt;
  console.log(
    `${CONCURRENT_STREAMS} concurrent streams, ${path.name}: ${completeCount} complete, all ended after ` +
      `${durationMs.toFixed(0)} ms (the engine alone takes ${STREAM_TOKENS * STREAM_DECODE_MS} ms)`,
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

/** Returns the paths to the engine: direct, through one VM, and through two VMs in a program. */
async function createPaths(fleet) {
  const headers = { authorization: `Bearer ${testKit.FLEET_NAMES.KEY}` };
  const engineUrl = fleet.target('engine-1').row.url;
  const caller = new testKit.Caller(testKit.FLEET_NAMES.KEY, testKit.FLEET_NAMES.MODEL_ROUTE);
  const openProgramOfSecondVm = async () => {
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
        const program = await openProgramOfSecondVm();
        return callStreamed(fleet.vm(0).url, tokens, {
          ...headers,
          'limpettack-program': program,
        });
      },
    },
  };
}

const fastFleet = await startFleet({ 'decode-ms-per-token': 1 });
const paths = await createPaths(fastFleet);
await measureFirstToken([paths.direct, paths.twoVms]);
await measureFirstToken([paths.direct, paths.oneVm]);
const direct = await measureThroughput(paths.direct);
const relayed = await measureThroughput(paths.oneVm);
console.log(
  `requests per second: direct ${direct.toFixed(0)}, through one VM ${relayed.toFixed(0)}, ` +
    `ratio ${(relayed / direct).toFixed(2)}`,
);
await fastFleet.dispose();
const slowFleet = await startFleet({ 'decode-ms-per-token': STREAM_DECODE_MS });
await measureStreams((await createPaths(slowFleet)).oneVm);
await slowFleet.dispose();
await agent.close();
