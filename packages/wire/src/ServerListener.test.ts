import * as http from 'node:http';
import type * as net from 'node:net';
import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as serverListener from './ServerListener.js';

const { afterEach, describe, expect, test } = jestGlobals;

const HOST = '127.0.0.1';
const opened: http.Server[] = [];

afterEach(() => {
  opened.splice(0).forEach((server) => server.close());
});

/** Returns a server that holds a port. */
async function holdPort() {
  const server = http.createServer();
  opened.push(server);
  await new Promise<void>((resolve) => {
    server.listen(0, HOST, resolve);
  });
  return { server, port: (server.address() as net.AddressInfo).port };
}

function createListener() {
  const server = http.createServer();
  opened.push(server);
  const logged: string[] = [];
  const log = (message: string): void => {
    logged.push(message);
  };
  const logger = { debug: log, info: log, warn: log, error: log };
  const listener = new serverListener.ServerListener({
    server,
    clock: new clock.SystemClock(),
    logger,
  });
  const waitForLog = async (count: number): Promise<void> => {
    while (logged.length < count) {
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  };
  return { listener, logged, server, waitForLog };
}

// A process ended with EADDRINUSE when another one still held a port at its start, and an error of
// a listening server had no listener, so it was an uncaught exception.
describe('ServerListener', () => {
  test('a port that is taken at the start is used once it is free', async () => {
    const holder = await holdPort();
    const { listener, logged, waitForLog } = createListener();
    const listening = listener.listen({ host: HOST, port: holder.port });
    await waitForLog(1);
    holder.server.close();
    expect(await listening).toBe(holder.port);
    expect(logged).toEqual([
      'A server cannot listen yet and retries.',
      'A server listens after retries.',
    ]);
  });

  test('an address that the machine does not have yet is waited for until the disposal', async () => {
    const { listener, server, waitForLog } = createListener();
    const listening = listener.listen({ host: '192.0.2.1', port: 0 });
    await waitForLog(1);
    listener.dispose();
    await expect(listening).rejects.toThrow('closed before it could listen');
    expect(server.listening).toBe(false);
  });

  // Each of these ended the process at its start.
  test.each(['EMFILE', 'ENFILE', 'ENOBUFS', 'EACCES', 'EAI_AGAIN', 'ENOTFOUND'])(
    'a listener retries after %s',
    async (code) => {
      const { listener, logged, server } = createListener();
      const listen = jestGlobals.jest.spyOn(server, 'listen').mockImplementationOnce(() => {
        const error = Object.assign(new Error(code), { code, syscall: 'listen' });
        process.nextTick(() => server.emit('error', error));
        return server;
      });
      expect(await listener.listen({ host: HOST, port: 0 })).toBeGreaterThan(0);
      expect(listen).toHaveBeenCalledTimes(2);
      expect(logged).toEqual([
        'A server cannot listen yet and retries.',
        'A server listens after retries.',
      ]);
    },
  );

  test('a server that is disposed of during an attempt does not keep its port', async () => {
    const { listener, server } = createListener();
    const listening = listener.listen({ host: HOST, port: 0 });
    listener.dispose();
    await expect(listening).rejects.toThrow('closed before it could listen');
    expect(server.listening).toBe(false);
  });

  test('an invalid address is reported at once', async () => {
    const { listener } = createListener();
    await expect(listener.listen({ host: HOST, port: 65_536 })).rejects.toThrow('port');
  });

  test('errors of a listening server are logged', async () => {
    const { listener, logged, server } = createListener();
    await listener.listen({ host: HOST, port: 0 });
    server.emit('error', new Error('accept EMFILE'));
    server.emit('error', new Error('accept EMFILE'));
    expect(logged).toEqual(['A server failed.', 'A server failed.']);
  });
});
