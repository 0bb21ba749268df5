import * as childProcess from 'node:child_process';
import * as http from 'node:http';
import * as net from 'node:net';
import * as path from 'node:path';
import * as util from 'node:util';
import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as logging from '@limpettack/logging';
import * as readScheduler from './ReadScheduler.js';

const { afterEach, describe, expect, test } = jestGlobals;

const BLOCK_BYTES = 256 * 1024;
const PIECE_BYTES = 4 * 1024;

/** What a consumer that has much work with each byte needs for a piece. */
const SLOW_PIECE_MS = 3;

/** The first connection fails in its consumer. The second one is served afterwards. */
const FAILING = `
  import * as net from 'node:net';
  const { ReadScheduler } = await import(process.argv[1]);
  const reads = new ReadScheduler({ clock: { now: () => performance.now() }, logger: console });
  process.on('uncaughtException', (error) => {
    console.log(error.message);
    net.connect(server.address().port).write('second');
  });
  const server = net.createServer((socket) => {
    reads.pace(socket, { label: 'test' });
    socket.on('data', (data) => {
      if (String(data) === 'first') throw new Error('an error');
      console.log('served');
      process.exit(0);
    });
  });
  server.listen(0, () => net.connect(server.address().port).write('first'));
`;

const disposables: (() => void)[] = [];

afterEach(() => disposables.splice(0).forEach((dispose) => dispose()));

function createScheduler(logger = new logging.PartLogger('test')): readScheduler.ReadScheduler {
  return new readScheduler.ReadScheduler({ clock: new clock.SystemClock(), logger });
}

/** Opens a connection, both ends of which are on this machine. The server accepts them in order. */
async function connectPair(): Promise<{ readonly near: net.Socket; readonly far: net.Socket }> {
  const server = net.createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const accepted = new Promise<net.Socket>((resolve) => {
    server.once('connection', resolve);
  });
  const far = net.connect((server.address() as net.AddressInfo).port, '127.0.0.1');
  const near = await accepted;
  server.close();
  [near, far].forEach((socket) => {
    socket.on('error', () => undefined);
    disposables.push(() => socket.destroy());
  });
  return { near, far };
}

/** Numbers, so that a piece which is lost, repeated or out of order is noticed. */
function createBlock(): Buffer {
  const block = Buffer.alloc(BLOCK_BYTES);
  for (let index = 0; index < BLOCK_BYTES; index += 4) block.writeUInt32BE(index, index);
  return block;
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(setImmediate);
}

/** Opens a connection whose near end is paced and gets a block, then the end of the connection. */
async function sendPaced(onData?: (near: net.Socket, bytes: number) => void): Promise<{
  readonly scheduler: readScheduler.ReadScheduler;
  readonly near: net.Socket;
  readonly received: () => number;
  readonly ended: Promise<unknown>;
}> {
  const { far, near } = await connectPair();
  const scheduler = createScheduler();
  scheduler.pace(near, { label: 'test' });
  let bytes = 0;
  if (onData !== undefined) {
    near.on('data', (piece: Buffer) => {
      bytes += piece.length;
      onData(near, bytes);
    });
  }
  const ended = new Promise((resolve) => {
    near.once('end', resolve);
  });
  far.end(createBlock());
  return { scheduler, near, received: () => bytes, ended };
}

function occupy(spanMs: number): void {
  const end = performance.now() + spanMs;
  while (performance.now() < end);
}

describe('ReadScheduler', () => {
  test('hands everything over in order, then the end of the connection', async () => {
    const { ended, near } = await sendPaced();
    const pieces: Buffer[] = [];
    near.on('data', (piece) => pieces.push(piece));
    await ended;
    expect(Buffer.concat(pieces).equals(createBlock())).toBe(true);
    expect(Math.max(...pieces.map(({ length }) => length))).toBeLessThanOrEqual(PIECE_BYTES);
  });

  test('a consumer that reads by itself gets everything, too', async () => {
    const { ended, near } = await sendPaced();
    const pieces: Buffer[] = [];
    near.on('readable', () => {
      for (let piece = near.read(); piece !== null; piece = near.read()) pieces.push(piece);
    });
    await ended;
    expect(Buffer.concat(pieces).equals(createBlock())).toBe(true);
  });

  test('a consumer that pauses gets nothing meanwhile, and the rest afterwards', async () => {
    const pausedBytes = 10_000;
    const { near, received } = await sendPaced((socket, bytes) => {
      if (bytes < pausedBytes) socket.pause();
    });
    await waitUntil(() => received() > 0);
    await new Promise(setImmediate);
    expect(received()).toBeLessThan(pausedBytes);
    while (received() < pausedBytes) {
      near.resume();
      await new Promise(setImmediate);
    }
    await waitUntil(() => received() === BLOCK_BYTES);
  });

  test('hands nothing over while a connection is on hold', async () => {
    const holds: (() => void)[] = [];
    const { near, received, scheduler } = await sendPaced(() => holds.shift()?.());
    holds.push(() => scheduler.hold(near));
    await waitUntil(() => received() > 0);
    const held = received();
    for (let turn = 0; turn < 20; turn += 1) await new Promise(setImmediate);
    expect(received()).toBe(held);
    scheduler.release(near);
    await waitUntil(() => received() === BLOCK_BYTES);
  });

  test('drops what arrives on a connection, but not its end', async () => {
    const discards: (() => void)[] = [];
    const { ended, near, received, scheduler } = await sendPaced(() => discards.shift()?.());
    discards.push(() => scheduler.discard(near));
    await ended;
    expect(received()).toBeLessThanOrEqual(PIECE_BYTES);
  });

  // What was dropped took no turns, so that connections with endless input occupied the process.
  test('stops reading a connection of which much has been dropped', async () => {
    const scheduler = createScheduler();
    const { far, near } = await connectPair();
    scheduler.pace(near, { label: 'test' });
    near.resume();
    scheduler.discard(near);
    far.write(Buffer.alloc(64 * BLOCK_BYTES));
    await waitUntil(() => near.bytesRead >= BLOCK_BYTES);
    for (let turn = 0; turn < 50; turn += 1) await new Promise(setImmediate);
    expect(near.bytesRead).toBeLessThan(2 * BLOCK_BYTES);
    expect(far.writableLength).toBeGreaterThan(0);
  });

  // A parser that needed long for what arrived at once kept the process from everything else: other
  // connections, timers and readiness checks.
  test('connections whose input takes long to parse do not delay others', async () => {
    const scheduler = createScheduler();
    const busy = await Promise.all(Array.from({ length: 20 }, connectPair));
    busy.forEach(({ far, near }) => {
      scheduler.pace(near, { label: 'busy' });
      near.on('data', () => occupy(SLOW_PIECE_MS));
      far.write(createBlock());
    });
    const { far, near } = await connectPair();
    scheduler.pace(near, { label: 'other' });
    near.on('data', (piece) => near.write(piece));
    const delays: number[] = [];
    for (let round = 0; round < 10; round += 1) {
      const startedAt = performance.now();
      far.write('x');
      await new Promise((resolve) => {
        far.once('data', resolve);
      });
      delays.push(performance.now() - startedAt);
    }
    // Without turns, each round takes at least one read of 64 KB of each busy connection: 960 ms.
    expect(Math.max(...delays)).toBeLessThan(300);
  });

  test('an error in a consumer does not stop the other connections', async () => {
    const module = path.join(import.meta.dirname, '..', 'dist', 'ReadScheduler.js');
    const execute = util.promisify(childProcess.execFile);
    const { stdout } = await execute(process.execPath, [
      '--input-type=module',
      '-e',
      FAILING,
      module,
    ]);
    expect(stdout).toBe('an error\nserved\n');
  });

  test('paces the requests of a server, which passes nothing unseen', async () => {
    const scheduler = createScheduler();
    const pieces: number[] = [];
    const server = http.createServer((request, response) => {
      request.on('data', (piece: Buffer) => pieces.push(piece.length));
      request.on('end', () => response.end('done'));
    });
    scheduler.paceServer(server, 'test');
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    disposables.push(() => {
      server.close();
      server.closeAllConnections();
    });
    const { port } = server.address() as net.AddressInfo;
    const response = await fetch(`http://127.0.0.1:${port}`, {
      method: 'POST',
      body: createBlock(),
    });
    expect(await response.text()).toBe('done');
    expect(pieces.reduce((sum, size) => sum + size, 0)).toBe(BLOCK_BYTES);
    expect(Math.max(...pieces)).toBeLessThanOrEqual(PIECE_BYTES);
  });

  test('logs who keeps the process busy', async () => {
    const logger = new logging.PartLogger('test');
    const warn = jestGlobals.jest.spyOn(logger, 'warn').mockImplementation(() => undefined);
    const scheduler = createScheduler(logger);
    const { far, near } = await connectPair();
    scheduler.pace(near, { label: 'a target' });
    near.on('data', () => occupy(SLOW_PIECE_MS));
    const sendMore = (): void => {
      while (!far.destroyed && far.write(createBlock()));
    };
    far.on('drain', sendMore);
    sendMore();
    await waitUntil(() => warn.mock.calls.length > 0);
    expect(warn.mock.calls[0]?.[1]).toMatchObject({ kind: 'a target' });
  });
});
