import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as platformClient from '@limpettack/platform-client';
import * as standIns from '@limpettack/stand-ins';

import * as faultProxy from './FaultProxy.js';

const { describe, expect, test } = jestGlobals;

const TIME = new clock.SystemClock();
const APPENDS = 400;
const WORKERS = 8;

describe('appends under constantly changing faults', () => {
  test('a confirmed append is in the log once, one without effect is absent, and none is duplicated', async () => {
    const platform = new standIns.PlatformServer(TIME, { appendsPerSecond: 10_000 });
    await platform.start();
    const proxy = new faultProxy.FaultProxy(TIME, platform.address);
    await proxy.start();
    const baseUrl = `http://${proxy.address}`;
    const client = new platformClient.HttpLogClient(TIME, { baseUrl, requestTimeoutMs: 100 });
    const outcomes = new Map<string, string>();
    const faults = injectFaults(proxy, platform, () => outcomes.size >= APPENDS);
    const append = async (worker: number): Promise<void> => {
      for (let count = worker; count < APPENDS; count += WORKERS) {
        const payload = `payload ${count}`;
        const result = await client.append('s', [payload]);
        outcomes.set(payload, result.isOk ? `ok ${result.value}` : result.error.kind);
        if (result.isErr) await TIME.sleep(2);
      }
    };
    await Promise.all(Array.from({ length: WORKERS }, (_, worker) => append(worker)));
    await faults;
    // The injection may stop at any step, so the log is read without the proxy and without faults.
    platform.setFaults({ logOutage: false, loseAnswers: 0 });
    const options = { baseUrl: platform.url, requestTimeoutMs: 1_000 };
    const reader = new platformClient.HttpLogClient(TIME, options);
    const page = await reader.read('s', 0, { limit: 10_000, waitMs: 0 });
    const recorded = new Map<string, string>();
    if (page.isOk)
      page.value.records.forEach((record) => recorded.set(record.payload, `ok ${record.offset}`));
    expect(page.isOk && page.value.records.length).toBe(recorded.size);
    const outcomeKinds = new Set([...outcomes.values()].map((outcome) => outcome.split(' ')[0]));
    expect(outcomeKinds).toEqual(new Set(['ok', 'lost', 'unavailable']));
    outcomes.forEach((outcome, payload) => {
      if (outcome === 'unavailable') expect(recorded.get(payload)).toBeUndefined();
      else if (outcome !== 'lost') expect(recorded.get(payload)).toBe(outcome);
    });
    await reader.dispose();
    await client.dispose();
    await proxy.dispose();
    await platform.dispose();
  });
});

/** Cycles through the faults until the test is done. */
async function injectFaults(
  proxy: faultProxy.FaultProxy,
  platform: standIns.PlatformServer,
  isDone: () => boolean,
): Promise<void> {
  const steps: (() => void | Promise<void>)[] = [
    () => proxy.resetConnections(),
    () => proxy.truncateAfter(300),
    () => platform.setFaults({ loseAnswers: 5 }),
    () => proxy.cut(),
    () => proxy.restore(),
    () => platform.setFaults({ logOutage: true }),
    () => platform.setFaults({ logOutage: false }),
    () => proxy.blackHoleEstablished(),
    () => proxy.silence('down'),
    () => proxy.silence('up'),
    () => proxy.restore(),
  ];
  for (let step = 0; !isDone(); step += 1) {
    await steps[step % steps.length]?.();
    await TIME.sleep(15);
  }
}
