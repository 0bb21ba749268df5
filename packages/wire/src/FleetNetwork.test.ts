import * as net from 'node:net';
import * as errors from '@limpettack/errors';
import * as lifetime from '@limpettack/lifetime';
import * as jestGlobals from '@jest/globals';
import * as trueMyth from 'true-myth';
import * as zod from 'zod';
import * as fleetNetwork from './FleetNetwork.js';
import * as createTestNetwork from './testing/createTestNetwork.js';
import * as peerFailures from './PeerFailures.js';
import * as peerLink from './PeerLink.js';
import type { PeerMethod, PeerStreamKind } from './Types.js';

const { afterEach, describe, expect, test } = jestGlobals;

const DOUBLE: PeerMethod<{ value: number }, { value: number }> = {
  name: 'test.double',
  request: zod.object({ value: zod.number() }),
  response: zod.object({ value: zod.number() }),
};
const COUNT: PeerStreamKind<{ upTo: number }, { value: number }> = {
  name: 'test.count',
  open: zod.object({ upTo: zod.number() }),
  item: zod.object({ value: zod.number() }),
};
const TIMEOUT_MS = 2_000;

const store: lifetime.DisposableStore[] = [];

afterEach(async () => {
  await Promise.all(store.splice(0).map((owner) => owner.dispose()));
});

async function startNetwork(name: string, secret = 'secret') {
  const owner = new lifetime.DisposableStore();
  store.push(owner);
  const network = owner.add(createTestNetwork.createTestNetwork(name, secret));
  await network.listen();
  return { network, address: network.self.address };
}

function countTimers(): number {
  return process.getActiveResourcesInfo().filter((name) => name === 'Timeout').length;
}

function serveCount(network: fleetNetwork.FleetNetwork) {
  const sent = { count: 0 };
  network.serveStream(COUNT, async (open, sink) => {
    for (let value = 0; value < open.upTo; value += 1) {
      const alive = await sink.send({ value });
      sent.count = value + 1;
      if (!alive) return;
    }
  });
  return sent;
}

describe('FleetNetwork', () => {
  test('a request that was answered leaves no timer that would wake the process', async () => {
    const first = await startNetwork('a');
    const second = await startNetwork('b');
    second.network.serve(DOUBLE, async ({ value }) => trueMyth.Result.ok({ value: value * 2 }));
    const options = { timeoutMs: TIMEOUT_MS };
    await first.network.request(second.address, DOUBLE, { value: 1 }, options);
    const before = countTimers();
    await first.network.request(second.address, DOUBLE, { value: 2 }, options);
    expect(countTimers()).toBe(before);
    expect(before).toBeLessThanOrEqual(1);
  });

  test('carries requests both ways and passes faults on', async () => {
    const first = await startNetwork('a');
    const second = await startNetwork('b');
    second.network.serve(DOUBLE, async ({ value }) =>
      value < 0
        ? trueMyth.Result.err(errors.createFault('bad-request', 'negative'))
        : trueMyth.Result.ok({ value: value * 2 }),
    );
    const good = await first.network.request(
      second.address,
      DOUBLE,
      { value: 4 },
      { timeoutMs: TIMEOUT_MS },
    );
    expect(good.unwrapOr({ value: 0 })).toEqual({ value: 8 });
    const bad = await first.network.request(
      second.address,
      DOUBLE,
      { value: -4 },
      { timeoutMs: TIMEOUT_MS },
    );
    expect(bad.isErr && bad.error.fault?.message).toBe('negative');
  });

  test('refuses a peer that does not hold the secret, and says that nothing was sent', async () => {
    const first = await startNetwork('a', 'other secret');
    const second = await startNetwork('b');
    const result = await first.network.request(
      second.address,
      DOUBLE,
      { value: 1 },
      { timeoutMs: TIMEOUT_MS },
    );
    expect(result.isErr && result.error.kind).toBe(peerFailures.PEER_FAILURES.NOT_SENT);
  });

  test('sends no more items than a slow receiver has room for', async () => {
    const first = await startNetwork('a');
    const second = await startNetwork('b');
    const sent = serveCount(second.network);
    const opened = await first.network.openStream(second.address, COUNT, { upTo: 1_000 });
    if (opened.isErr) throw new Error(opened.error.message);
    const stream = opened.value;
    await stream.next();
    expect(sent.count).toBeLessThanOrEqual(peerLink.STREAM_WINDOW_ITEMS);
    const values: number[] = [];
    for (;;) {
      const item = await stream.next();
      if (item.isErr) throw new Error(item.error.message);
      if (item.value === undefined) break;
      values.push(item.value.value);
    }
    expect(values).toHaveLength(999);
    expect(values.at(-1)).toBe(999);
  });

  test('gives up in time on a peer that accepts connections and stays silent', async () => {
    const { network } = await startNetwork('a');
    const silent = net.createServer();
    await new Promise<void>((resolve) => {
      silent.listen(0, '127.0.0.1', resolve);
    });
    const { port } = silent.address() as net.AddressInfo;
    const startedAt = performance.now();
    const request = { value: 1 };
    const result = await network.request(`127.0.0.1:${port}`, DOUBLE, request, { timeoutMs: 200 });
    expect(performance.now() - startedAt).toBeLessThan(600);
    expect(result.isErr && result.error.kind).toBe(peerFailures.PEER_FAILURES.NOT_SENT);
    silent.close();
  });

  test('tells that a message was lost when the peer goes while it works', async () => {
    const first = await startNetwork('a');
    const second = await startNetwork('b');
    second.network.serve(DOUBLE, () => {
      second.network.dispose();
      return new Promise(() => {});
    });
    const result = await first.network.request(
      second.address,
      DOUBLE,
      { value: 1 },
      { timeoutMs: TIMEOUT_MS },
    );
    expect(result.isErr && result.error.kind).toBe(peerFailures.PEER_FAILURES.LOST);
  });
});
