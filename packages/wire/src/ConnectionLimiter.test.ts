import * as net from 'node:net';
import * as jestGlobals from '@jest/globals';
import * as connectionLimiter from './ConnectionLimiter.js';

const { describe, expect, test } = jestGlobals;

function createSockets(count: number): net.Socket[] {
  return Array.from({ length: count }, () => new net.Socket());
}

function destroyedOf(sockets: readonly net.Socket[]): boolean[] {
  return sockets.map(({ destroyed }) => destroyed);
}

describe('ConnectionLimiter', () => {
  test('closes the connection that has been idle for the longest time', () => {
    const limiter = new connectionLimiter.ConnectionLimiter(3);
    const sockets = createSockets(4);
    const [first, second] = sockets as [net.Socket, net.Socket];
    sockets.slice(0, 3).forEach((socket) => limiter.add(socket));
    limiter.markBusy(first);
    limiter.markReading(second);
    limiter.markIdle(first);
    limiter.add(sockets[3]!);
    expect(destroyedOf(sockets)).toEqual([false, false, true, false]);
  });

  test('closes the new connection if all others are in use', () => {
    const limiter = new connectionLimiter.ConnectionLimiter(1);
    const sockets = createSockets(2);
    limiter.add(sockets[0]!);
    limiter.markBusy(sockets[0]!);
    // A further request that arrives while one runs does not make the connection idle.
    limiter.markReading(sockets[0]!);
    limiter.add(sockets[1]!);
    expect(destroyedOf(sockets)).toEqual([false, true]);
  });

  test('connections that are closed or exempt leave room', async () => {
    const limiter = new connectionLimiter.ConnectionLimiter(2);
    const sockets = createSockets(4);
    sockets.slice(0, 2).forEach((socket) => limiter.add(socket));
    limiter.exempt(sockets[0]!);
    const closed = new Promise((resolve) => {
      sockets[1]!.once('close', resolve);
    });
    sockets[1]!.destroy();
    await closed;
    sockets.slice(2).forEach((socket) => limiter.add(socket));
    expect(destroyedOf(sockets)).toEqual([false, true, false, false]);
  });
});
