import * as net from 'node:net';

const HOST = '127.0.0.1';

/** Below the ports that the system gives to outgoing connections, which could take a free one. */
const FIRST_PORT = 10_000;
const PORT_COUNT = 22_000;

/** Finds ports that nothing listens on. All are different. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  // Fleets of several test processes begin to look at places far apart.
  let candidate = Math.floor(Math.random() * PORT_COUNT);
  const servers: net.Server[] = [];
  while (servers.length < count) {
    candidate = (candidate + 1) % PORT_COUNT;
    const server = await listen(FIRST_PORT + candidate);
    if (server !== undefined) servers.push(server);
  }
  const ports = servers.map((server) => (server.address() as net.AddressInfo).port);
  await Promise.all(servers.map(close));
  return ports;
}

/** Nothing when the port is taken. */
function listen(port: number): Promise<net.Server | undefined> {
  const server = net.createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(undefined));
    server.listen(port, HOST, () => resolve(server));
  });
}

function close(server: net.Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
  });
}
