import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as platformClient from '@limpettack/platform-client';
import * as standIns from '@limpettack/stand-ins';

import * as faultProxy from './FaultProxy.js';

const { describe, expect, test } = jestGlobals;

const TIME = new clock.SystemClock();
const APPENDS = 400;
const WORKERS = 8;

describe('appends under faults that change all the time', () => {
  test('a confirmed one is in the log once, one without effect is not, and none comes twice', async () => {
    const platform = new standIns.PlatformServer(TIME, { appendsPerSecond: 10_000 });
    await platform.start();
    const proxy = new faultProxy.FaultProxy(TIME, platform.address);
    await proxy.start();
    const baseUrl = `http://${proxy.address}`;
    const client = new platformClient.HttpLogClient(TIME, { baseUrl, requestTimeoutMs: 100 });
    const ends = new Map<string, string>();
    const faults = injectFaults(proxy, platform, () => ends.size >= APPENDS);
    const append = async (worker: number): Promise<void> => {
      for (let count = worker; count < APPENDS; count += WORKERS) {
        const payload = `payload ${count}`;
        const result = await client.append('s', [payload]);
        ends.set(payload, result.isOk ? `ok ${result.value}` : result.error.kind);
        if (result.isErr) await TIME.sleep(2);
      }
    };
    await Promise.all(Array.from({ length: WORKERS }, (_, worker) => append(worker)));
    await faults;
    // The faults end at any of their steps, so what the log holds is read past all of them.
    platform.setFaults({ logOutage: false, loseAnswers: 0 });
    const options = { baseUrl: platform.url, requestTimeoutMs: 1_000 };
    const reader = new platformClient.HttpLogClient(TIME, options);
    const page = await reader.read('s', 0, { limit: 10_000, waitMs: 0 });
    const kept = new Map<string, string>();
    if (page.isOk)
      page.value.records.forEach((record) => kept.set(record.payload, `ok ${record.offset}`));
    expect(page.isOk && page.value.records.length).toBe(kept.size);
    const seen = new Set([...ends.values()].map((end) => end.split(' ')[0]));
    expect(seen).toEqual(new Set(['ok', 'lost', 'unavailable']));
    ends.forEach((end, payload) => {
      if (end === 'unavailable') expect(kept.get(payload)).toBeUndefined();
      else if (end !== 'lost') expect(kept.get(payload)).toBe(end);
    });
    await reader.dispose();
    await client.dispose();
    await proxy.dispose();
    await platform.dispose();
  });
});

/** Switches through the faults until the test is done. */
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
