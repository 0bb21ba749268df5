import * as net from 'node:net';

import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import type * as lifetime from '@limpettack/lifetime';
import * as eventStreams from './EventStream.js';
import * as fixtures from './targetFixtures.js';

const { afterEach, describe, expect, test } = jestGlobals;

const PIECE = Buffer.from('data: x\n\n'.repeat(1_000));

const owned: lifetime.Disposable[] = [];

afterEach(async () => {
  for (const item of owned.splice(0).reverse()) await item.dispose();
});

/** Starts a target that streams pieces of events, then ends its connection. */
async function startTarget(pieces: number, end: (socket: net.Socket) => void) {
  const time = new clock.SystemClock();
  const state = { hasEnded: false };
  const server = net.createServer((socket) => {
    socket.on('error', () => undefined);
    owned.push({
      dispose: () => {
        socket.destroy();
      },
    });
    socket.once('data', async () => {
      socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n');
      for (let piece = 0; piece < pieces; piece += 1) {
        socket.write(PIECE);
        await time.sleep(1);
      }
      await time.sleep(50);
      end(socket);
      state.hasEnded = true;
    });
  });
  owned.push({
    dispose: () => {
      server.close();
    },
  });
  return { state, url: await fixtures.listen(server) };
}

describe('EventStream', () => {
  // The HTTP client throws in its socket listeners when a connection ends with a response that is paused.
  // A response was paused while its events were not read, and the stream never ended.
  test.each([
    ['an end', (socket: net.Socket) => socket.end(), 10],
    ['a reset', (socket: net.Socket) => socket.resetAndDestroy(), 10],
    [
      'a reset after more than is kept unread',
      (socket: net.Socket) => socket.resetAndDestroy(),
      200,
    ],
  ])('a stream ends after %s while its events are not read', async (_name, end, pieces) => {
    const { state, url } = await startTarget(pieces, end);
    const { signal } = new AbortController();
    const stream = new eventStreams.EventStream(url, 500, new clock.SystemClock(), signal);
    owned.push({ dispose: () => stream.close() });
    await stream.open({ method: 'POST', path: '/', headers: {} }, 1_000);
    await fixtures.waitUntil(() => state.hasEnded);
    await new clock.SystemClock().sleep(50);
    let step = await stream.next(1_000);
    while (step.kind === 'event') step = await stream.next(1_000);
    expect(['broken', 'ended']).toContain(step.kind);
  });
});
