import * as net from 'node:net';

import * as jestGlobals from '@jest/globals';

import * as resetSocket from './resetSocket.js';

const { describe, expect, test } = jestGlobals;

describe('resetSocket', () => {
  test('closes a socket whose writing side was just ended', async () => {
    const server = net.createServer({ allowHalfOpen: true }, (peer) => {
      peer.resume().once('end', () => peer.destroy());
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as net.AddressInfo;
    const socket = net.connect({ port, host: '127.0.0.1', allowHalfOpen: true });
    await new Promise<void>((resolve) => {
      socket.once('connect', resolve);
    });
    socket.end('last words');
    const ended = new Promise<string>((resolve) => {
      socket.once('close', () => resolve('close'));
      socket.once('error', (error) => resolve(error.message));
    });
    resetSocket.resetSocket(socket);
    expect(await ended).toBe('close');
    server.close();
  });
});
