import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as platformClient from '@limpettack/platform-client';
import * as standIns from '@limpettack/stand-ins';

import * as faultProxy from './FaultProxy.js';
import * as waitFor from './waitFor.js';

const { afterEach, beforeEach, describe, expect, test } = jestGlobals;

const TIME = new clock.SystemClock();
const REQUEST_TIMEOUT_MS = 300;
/** The lowest ephemeral port with Linux's default settings. */
const FIRST_EPHEMERAL_PORT = 32_768;

describe('HttpLogClient behind a FaultProxy', () => {
  let platform: standIns.PlatformServer;
  let proxy: faultProxy.FaultProxy;
  let client: platformClient.HttpLogClient;

  beforeEach(async () => {
    platform = new standIns.PlatformServer(TIME);
    await platform.start();
    proxy = new faultProxy.FaultProxy(TIME, platform.address);
    await proxy.start();
    client = createClient();
  });

  afterEach(async () => {
    await client.dispose();
    await proxy.dispose();
    await platform.dispose();
  });

  function createClient(address = proxy.address): platformClient.HttpLogClient {
    return new platformClient.HttpLogClient(TIME, {
      baseUrl: `http://${address}`,
      requestTimeoutMs: REQUEST_TIMEOUT_MS,
    });
  }

  async function failureOfAppend(): Promise<string | undefined> {
    const result = await client.append('stream', ['payload']);
    return result.isErr ? result.error.kind : undefined;
  }

  function appendCount(): number {
    return platform.counts().stream?.appends ?? 0;
  }

  test('keeps its port, which is below the ephemeral ports, after a cut', async () => {
    const { address } = proxy;
    expect(Number(address.split(':')[1])).toBeLessThan(FIRST_EPHEMERAL_PORT);
    await proxy.cut();
    await proxy.restore();
    expect(proxy.address).toBe(address);
    expect(await failureOfAppend()).toBeUndefined();
  });

  test('an append during a refused connection or an outage fails without effect', async () => {
    await proxy.cut();
    expect(await failureOfAppend()).toBe('unavailable');
    await proxy.restore();
    platform.setFaults({ logOutage: true });
    expect(await failureOfAppend()).toBe('unavailable');
    platform.setFaults({ logOutage: false });
    expect(appendCount()).toBe(0);
    expect(await failureOfAppend()).toBeUndefined();
  });

  test('a response that is destroyed after the append is reported as lost', async () => {
    platform.setFaults({ loseAnswers: 1 });
    expect(await failureOfAppend()).toBe('lost');
    expect(appendCount()).toBe(1);
    proxy.truncateAfter(20);
    expect(await failureOfAppend()).toBe('lost');
    expect(appendCount()).toBe(2);
    proxy.silence('down');
    expect(await failureOfAppend()).toBe('lost');
    expect(appendCount()).toBe(3);
  });

  test('an unresponsive connection is not reused', async () => {
    expect(await failureOfAppend()).toBeUndefined();
    const reader = createClient();
    const openBefore = proxy.openCount;
    const waiting = reader.read('stream', 1, { limit: 1, waitMs: 100 });
    await waitFor.waitFor(() => proxy.openCount > openBefore, { what: 'the waiting read' });
    proxy.blackHoleEstablished();
    expect((await waiting).isErr).toBe(true);
    const page = await reader.read('stream', 0, { limit: 10, waitMs: 0 });
    expect(page.isOk && page.value.records.length).toBe(1);
    await reader.dispose();
  });

  test('a rate-limited append returns the time until a retry', async () => {
    const slow = new standIns.PlatformServer(TIME, { appendsPerSecond: 5 });
    await slow.start();
    const slowClient = createClient(slow.address);
    const results = [
      await slowClient.append('stream', ['first']),
      await slowClient.append('stream', ['second']),
    ];
    const [failure] = results.flatMap((result) => (result.isErr ? [result.error] : []));
    expect(failure?.kind).toBe('rate-limited');
    expect(failure?.retryAfterMs).toBeGreaterThan(0);
    expect(slow.counts().stream?.appends).toBe(1);
    await slowClient.dispose();
    await slow.dispose();
  });
});
