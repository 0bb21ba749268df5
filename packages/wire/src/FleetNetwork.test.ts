import * as net from 'node:net';
import * as errors from '@limpettack/errors';
import * as lifetime from '@limpettack/lifetime';
import * as jestGlobals from '@jest/globals';
import * as trueMyth from 'true-myth';
import * as zod from 'zod';
import * as fleetNetwork from './FleetNetwork.js';
import * as createTestNetwork from './testing/createTestNetwork.js';
import * as countRemainingTimers from './testing/countRemainingTimers.js';
import * as peerFailures from './PeerFailures.js';
import * as peerLink from './PeerLink.js';
import type { PeerMethod, PeerResult, PeerStreamKind } from './Types.js';

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
const MEGABYTE = 1_048_576;

const MAXIMUM_UNAUTHENTICATED = 20;

/** A request to open a connection, as a process sends it that need not hold the secret. */
const OPENING = [
  'GET /peer HTTP/1.1',
  'Host: a',
  'Connection: upgrade',
  'Upgrade: websocket',
  'Sec-WebSocket-Version: 13',
  'Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==',
  '\r\n',
].join('\r\n');

/** A frame that continues a message with one byte. */
const FRAGMENT = Buffer.from([0x00, 0x81, 0, 0, 0, 0, 0x78]);

/** A frame that closes a connection for a violation of its policy. */
const POLICY_VIOLATION = Buffer.from([0x88, 0x02, 0x03, 0xf0]);

const store: lifetime.DisposableStore[] = [];

afterEach(async () => {
  await Promise.all(store.splice(0).map((owner) => owner.dispose()));
});

async function startNetwork(name: string, secret = 'secret', maximumUnauthenticated?: number) {
  const owner = new lifetime.DisposableStore();
  store.push(owner);
  const network = owner.add(
    createTestNetwork.createTestNetwork(name, secret, maximumUnauthenticated),
  );
  await network.listen();
  return { network, address: network.self.address };
}

function disposing(dispose: () => void): lifetime.DisposableStore {
  const owner = new lifetime.DisposableStore();
  owner.add({ dispose });
  return owner;
}

/** Forwards connections until they are stalled. Connections opened later are forwarded again. */
async function startStallingProxy(address: string) {
  const [host = '', port = ''] = address.split(':');
  const open = new Set<net.Socket>();
  const server = net.createServer((incoming) => {
    const outgoing = net.connect(Number(port), host);
    [incoming, outgoing].forEach((socket) => {
      open.add(socket);
      socket.on('error', () => undefined);
    });
    incoming.pipe(outgoing);
    outgoing.pipe(incoming);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    address: `127.0.0.1:${(server.address() as net.AddressInfo).port}`,
    stall: () => open.forEach((socket) => socket.unpipe().pause()),
    dispose: () => {
      open.forEach((socket) => socket.destroy());
      server.close();
    },
  };
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
  test('completed requests leave no timers that would wake the process', async () => {
    const first = await startNetwork('a');
    const second = await startNetwork('b');
    second.network.serve(DOUBLE, async ({ value }) => trueMyth.Result.ok({ value: value * 2 }));
    const options = { timeoutMs: TIMEOUT_MS };
    await first.network.request(second.address, DOUBLE, { value: 1 }, options);
    const remaining = await countRemainingTimers.countRemainingTimers(async () => {
      for (let value = 0; value < 20; value += 1) {
        await first.network.request(second.address, DOUBLE, { value }, options);
      }
    });
    expect(remaining).toBe(0);
  });

  test('a link on which a probe failed is checked, and replaced when it is stalled', async () => {
    const first = await startNetwork('a');
    const second = await startNetwork('b');
    second.network.serve(DOUBLE, async ({ value }) => trueMyth.Result.ok({ value: value * 2 }));
    const proxy = await startStallingProxy(second.address);
    const probe = (timeoutMs: number): Promise<{ readonly isOk: boolean }> =>
      first.network.request(proxy.address, DOUBLE, { value: 1 }, { timeoutMs, isProbe: true });
    expect((await probe(300)).isOk).toBe(true);
    proxy.stall();
    expect((await probe(300)).isOk).toBe(false);
    expect((await probe(1_000)).isOk).toBe(true);
    expect(first.network.linkCount).toBe(1);
    proxy.dispose();
  });

  test('carries requests and forwards faults', async () => {
    const first = await startNetwork('a');
    const second = await startNetwork('b');
    second.network.serve(DOUBLE, async ({ value }) =>
      value < 0
        ? trueMyth.Result.err(errors.createFault('bad-request', 'negative'))
        : trueMyth.Result.ok({ value: value * 2 }),
    );
    const accepted = await first.network.request(
      second.address,
      DOUBLE,
      { value: 4 },
      { timeoutMs: TIMEOUT_MS },
    );
    expect(accepted.unwrapOr({ value: 0 })).toEqual({ value: 8 });
    const refused = await first.network.request(
      second.address,
      DOUBLE,
      { value: -4 },
      { timeoutMs: TIMEOUT_MS },
    );
    expect(refused.isErr && refused.error.fault?.message).toBe('negative');
  });

  test('rejects a peer that does not hold the secret, and reports that nothing was sent', async () => {
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

  // Any process could announce a message of up to 32 MB and send it before it had to prove anything.
  test('closes a connection that sends a large message before it has proved the secret', async () => {
    const { address } = await startNetwork('a');
    const [host = '', port = ''] = address.split(':');
    const socket = net.connect(Number(port), host);
    store.push(disposing(() => socket.destroy()));
    socket.on('error', () => undefined);
    const closed = new Promise((resolve) => {
      socket.once('close', resolve);
    });
    socket.resume();
    socket.write(OPENING);
    const messageBytes = 30_000_000;
    const head = Buffer.alloc(14);
    head.writeUInt16BE(0x82_ff, 0);
    head.writeBigUInt64BE(BigInt(messageBytes), 2);
    socket.write(head);
    const piece = Buffer.alloc(MEGABYTE);
    let sentBytes = 0;
    const sendOn = (): void => {
      socket.write(piece, (error) => {
        if (error) return;
        sentBytes += piece.length;
        if (sentBytes + piece.length < messageBytes) sendOn();
      });
    };
    sendOn();
    await closed;
    // The rest was not received, as it would have been until the handshake times out.
    expect(sentBytes).toBeLessThan(messageBytes / 2);
  });

  // A message in parts of one byte took thirty times its size, on as many connections as came.
  test('closes a connection that sends a message in many parts', async () => {
    const { address } = await startNetwork('a');
    const [host = '', port = ''] = address.split(':');
    const socket = net.connect(Number(port), host);
    store.push(disposing(() => socket.destroy()));
    socket.on('error', () => undefined);
    const received: Buffer[] = [];
    socket.on('data', (data) => received.push(data));
    const closed = new Promise((resolve) => {
      socket.once('close', resolve);
    });
    const begin = Buffer.from([0x02, ...FRAGMENT.subarray(1)]);
    socket.write(OPENING);
    socket.write(Buffer.concat([begin, ...Array.from({ length: 100 }, () => FRAGMENT)]));
    await closed;
    expect(Buffer.concat(received).includes(POLICY_VIOLATION)).toBe(true);
  });

  test('a peer connects while connections that prove nothing take all places', async () => {
    const { address, network } = await startNetwork('a', 'secret', MAXIMUM_UNAUTHENTICATED);
    network.serve(DOUBLE, async ({ value }) => trueMyth.Result.ok({ value: 2 * value }));
    const [host = '', port = ''] = address.split(':');
    let closedCount = 0;
    const idle = Array.from({ length: MAXIMUM_UNAUTHENTICATED + 5 }, () => {
      const socket = net.connect(Number(port), host);
      socket.on('error', () => undefined);
      socket.on('close', () => {
        closedCount += 1;
      });
      return socket;
    });
    store.push(disposing(() => idle.forEach((socket) => socket.destroy())));
    const { network: peer } = await startNetwork('b');
    const call = (): Promise<PeerResult<{ value: number }>> =>
      peer.request(address, DOUBLE, { value: 4 }, { timeoutMs: TIMEOUT_MS });
    expect((await call()).unwrapOr(undefined)).toEqual({ value: 8 });
    for (let round = 0; round < 100 && closedCount < 5; round += 1) await call();
    // An established link is not closed for new connections.
    expect(network.linkCount).toBe(1);
    expect(closedCount).toBeGreaterThanOrEqual(5);
    expect(closedCount).toBeLessThan(10);
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

  test.each(['', 'no address', '127.0.0.1:99999', 'vm-1:80/#part'])(
    'reports that nothing was sent to a malformed address (%j)',
    async (address) => {
      const { network } = await startNetwork('a');
      const options = { timeoutMs: TIMEOUT_MS };
      const result = await network.request(address, DOUBLE, { value: 1 }, options);
      expect(result.isErr && result.error.kind).toBe(peerFailures.PEER_FAILURES.NOT_SENT);
    },
  );

  test('times out for a peer that accepts connections but never responds', async () => {
    const { network } = await startNetwork('a');
    const unresponsive = net.createServer();
    await new Promise<void>((resolve) => {
      unresponsive.listen(0, '127.0.0.1', resolve);
    });
    const { port } = unresponsive.address() as net.AddressInfo;
    const startedAt = performance.now();
    const request = { value: 1 };
    const result = await network.request(`127.0.0.1:${port}`, DOUBLE, request, { timeoutMs: 200 });
    expect(performance.now() - startedAt).toBeLessThan(600);
    expect(result.isErr && result.error.kind).toBe(peerFailures.PEER_FAILURES.NOT_SENT);
    unresponsive.close();
  });

  test('reports a lost message when the peer disconnects while it handles the request', async () => {
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
