import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';

const HOST = '127.0.0.1';

/** The range lies below the ephemeral ports, so that outgoing connections do not take a port. */
const FIRST_PORT = 10_000;
const LAST_PORT = 32_000;

/** Holds a file for each claimed port of this machine, which contains the claiming process's id. */
const CLAIM_DIRECTORY = path.join(os.tmpdir(), 'limpettack-ports');

/**
 * Finds distinct ports without a listener and claims them until this process ends. No process of
 * this machine finds a claimed port again, so a fleet can bind it later and across restarts.
 */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  fs.mkdirSync(CLAIM_DIRECTORY, { recursive: true });
  const ports: number[] = [];
  while (ports.length < count) {
    const port = crypto.randomInt(FIRST_PORT, LAST_PORT);
    if (claimPort(port) && (await isFree(port))) ports.push(port);
  }
  return ports;
}

/** Claims a port for this process. Returns false if the port was claimed already. */
export function claimPort(port: number): boolean {
  const file = path.join(CLAIM_DIRECTORY, String(port));
  try {
    fs.writeFileSync(file, String(process.pid), { flag: 'wx' });
    return true;
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code !== 'EEXIST') throw error;
  }
  // The claim of an ended process is only removed here, and the port can be claimed at the next
  // attempt. Two processes that find the stale claim at once thus cannot both take the port.
  if (!isHolderAlive(file)) fs.rmSync(file, { force: true });
  return false;
}

function isHolderAlive(file: string): boolean {
  try {
    const holder = Number(fs.readFileSync(file, 'utf8'));
    // A file without a number is still being written.
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
