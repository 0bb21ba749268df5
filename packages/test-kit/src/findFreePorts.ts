import * as net from 'node:net';

const HOST = '127.0.0.1';

/** Finds ports that nothing listens on. All are different. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  const servers = Array.from({ length: count }, () => net.createServer());
  await Promise.all(servers.map(listen));
  const ports = servers.map((server) => (server.address() as net.AddressInfo).port);
  await Promise.all(servers.map(close));
  return ports;
}

function listen(server: net.Server): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, HOST, resolve);
  });
}

function close(server: net.Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
  });
}
