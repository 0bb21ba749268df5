import * as net from 'node:net';

import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import type * as lifetime from '@limpettack/lifetime';
import * as exchanges from './exchange.js';
import * as fixtures from './targetFixtures.js';

const { afterEach, describe, expect, test } = jestGlobals;

/** More than the buffers of both sockets hold, in bytes. */
const UPLOAD_BYTES = 16 * 1_024 * 1_024;

const owned: lifetime.Disposable[] = [];

afterEach(async () => {
  for (const item of owned.splice(0).reverse()) await item.dispose();
});

/** Starts a target that handles the start of each request with a script, and returns its URL. */
function listen(script: (socket: net.Socket) => void): Promise<string> {
  const sockets = new Set<net.Socket>();
  const server = net.createServer((socket) => {
    sockets.add(socket.on('error', () => undefined));
    socket.once('data', () => script(socket));
  });
  owned.push({
    dispose: () => {
      sockets.forEach((socket) => socket.destroy());
      server.close();
    },
  });
  return fixtures.listen(server);
}

function send(url: string, body: Uint8Array) {
  const request = { method: 'POST', path: '/charges', headers: {}, body };
  const time = new clock.SystemClock();
  return exchanges.exchange(request, { url, clock: time, connectMs: 500, totalMs: 2_000 });
}

const RESPONSES: Record<string, string> = {
  'no length': '200 OK\r\n\r\npart',
  'Connection: close': '200 OK\r\nConnection: close\r\n\r\npart',
  'an error status': '500 Error\r\n\r\npart',
  'no byte of the body': '200 OK\r\n\r\n',
  'a transfer coding that is not chunked': '200 OK\r\nTransfer-Encoding: gzip\r\n\r\npart',
  'a length': '200 OK\r\nContent-Length: 9\r\n\r\npart',
  'whole chunks': '200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n',
};

const ENDINGS: Record<string, (socket: net.Socket) => void> = {
  'a reset': (socket) => socket.resetAndDestroy(),
  'an end': (socket) => socket.end(),
};

const CUTS = Object.entries(RESPONSES).flatMap(([response, text]) =>
  Object.entries(ENDINGS).map(([ending, end]) => ({ response, text, ending, end })),
);

describe('exchange', () => {
  // Guards against a part of a response that is taken for all of it, because the connection ended while
  // the request was being written.
  test.each(CUTS)(
    'fails after a response with $response and $ending during the upload',
    async ({ end, text }) => {
      const url = await listen((socket) => {
        socket.pause();
        socket.write(`HTTP/1.1 ${text}`);
        end(socket);
      });
      const result = await send(url, Buffer.alloc(UPLOAD_BYTES));
      expect(['broken', 'invalid']).toContain(fixtures.failureOf(result));
    },
  );

  // Guards against a response with an impossible status that is returned, or that throws or stalls.
  test.each(['000', '001', '099', '00', '1', '1xx', '-200', '0200', '', '100'])(
    'fails after a response with the status "%s"',
    async (status) => {
      const regular = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';
      for (const rest of ['', 'Content-Length: 0\r\n']) {
        const url = await listen((socket) =>
          socket.write(`HTTP/1.1 ${status} OK\r\n${rest}\r\n${regular}`),
        );
        const result = await send(url, Buffer.from('{}'));
        expect(fixtures.failureOf(result)).toBe('broken');
      }
    },
  );
});
