import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';

const HOST = '127.0.0.1';

/** Below the ports that systems give to outgoing connections, so that none of these takes one. */
const FIRST_PORT = 10_000;
const LAST_PORT = 32_000;

/** One file for each port that a process of this machine has found, with the id of the process. */
const CLAIMS = path.join(os.tmpdir(), 'limpettack-ports');

/**
 * Finds ports that nothing listens on, also over restarts. All are different, and none is found
 * again, by this process or another one, while this process lives: its fleets bind them later.
 */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  fs.mkdirSync(CLAIMS, { recursive: true });
  const ports: number[] = [];
  while (ports.length < count) {
    const port = crypto.randomInt(FIRST_PORT, LAST_PORT);
    if (claimPort(port) && (await isFree(port))) ports.push(port);
  }
  return ports;
}

/** Claims a port for this process; false when a process holds it. */
export function claimPort(port: number): boolean {
  const file = path.join(CLAIMS, String(port));
  try {
    fs.writeFileSync(file, String(process.pid), { flag: 'wx' });
    return true;
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code !== 'EEXIST') throw error;
  }
  // The claim of a process that has ended is removed here and made anew at another attempt, so that
  // two processes that find it at once do not both take the port.
  if (!isAlive(file)) fs.rmSync(file, { force: true });
  return false;
}

function isAlive(file: string): boolean {
  try {
    const holder = Number(fs.readFileSync(file, 'utf8'));
    // A claim without a number is being written just now.
    if (!(holder > 0)) return true;
    process.kill(holder, 0);
    return true;
  } catch (error) {
    return (error as NodeJS.ErrnoException).code === 'EPERM';
  }
}

function isFree(port: number): Promise<boolean> {
  const server = net.createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, HOST, () => {
      server.close(() => resolve(true));
    });
  });
}
