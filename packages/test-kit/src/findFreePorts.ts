import * as crypto from 'node:crypto';
import * as net from 'node:net';

const HOST = '127.0.0.1';

/** Below the ports that systems give to outgoing connections, so that none of these takes one. */
const FIRST_PORT = 10_000;
const LAST_PORT = 32_000;

/** Finds ports that nothing listens on, also over restarts. All are different. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  const servers: net.Server[] = [];
  while (servers.length < count) {
    const server = net.createServer();
    if (await listens(server, crypto.randomInt(FIRST_PORT, LAST_PORT))) servers.push(server);
  }
  const ports = servers.map((server) => (server.address() as net.AddressInfo).port);
  await Promise.all(servers.map(close));
  return ports;
}

function listens(server: net.Server, port: number): Promise<boolean> {
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, HOST, () => resolve(true));
  });
}

function close(server: net.Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
  });
}
