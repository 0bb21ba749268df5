import * as net from 'node:net';

import type * as clock from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';

import * as directions from './Directions.js';
import * as findFreePorts from './findFreePorts.js';
import * as proxiedConnection from './ProxiedConnection.js';
import type { Direction } from './Types.js';

const { DIRECTIONS } = directions;

const HOST = '127.0.0.1';

/** Forwards TCP connections to one address, with faults that a test switches. */
export class FaultProxy implements lifetime.Disposable {
  private readonly connections = new Set<proxiedConnection.ProxiedConnection>();

  private server: net.Server | undefined;

  private port = 0;

  private delayMs = 0;

  private silenced: Direction | undefined;

  private bytesLeft: number | undefined;

  /** How many connections have been accepted. */
  public acceptedCount = 0;

  /** Bytes that have been forwarded, both ways together. */
  public forwardedBytes = 0;

  public constructor(
    private readonly time: clock.Clock,
    /** Where connections are forwarded to, as `host:port`. */
    private readonly upstream: string,
  ) {}

  /** Where the proxy listens, as `host:port`; valid once it has started. */
  public get address(): string {
    return `${HOST}:${this.port}`;
  }

  /** How many connections are open. */
  public get openCount(): number {
    return this.connections.size;
  }

  /** Starts to listen on a free port, which stays its own over cuts. */
  public async start(): Promise<void> {
    [this.port = 0] = await findFreePorts.findFreePorts(1);
    await this.listen();
  }

  /** Resets all connections and refuses new ones. */
  public async cut(): Promise<void> {
    const { server } = this;
    this.server = undefined;
    const closed = new Promise<void>((resolve) => {
      if (server === undefined) resolve();
      else server.close(() => resolve());
    });
    this.resetConnections();
    await closed;
  }

  /** Takes all faults away, except that connections that went silent for good stay so. */
  public async restore(): Promise<void> {
    this.delayMs = 0;
    this.bytesLeft = undefined;
    this.silence(undefined);
    await this.listen();
  }

  /** Resets all connections and accepts new ones. */
  public resetConnections(): void {
    this.connections.forEach((connection) => connection.reset());
  }

  /** Delays all that is forwarded from now on, each way, in milliseconds. */
  public delay(span: clock.Milliseconds): void {
    this.delayMs = span;
  }

  /** Forwards nothing in a direction, on open and new connections, until silenced otherwise. */
  public silence(direction: Direction | undefined): void {
    this.silenced = direction;
    this.connections.forEach((connection) => connection.resume());
  }

  /** The connections open now forward nothing more and are not closed; new ones work. */
  public blackHoleEstablished(): void {
    this.connections.forEach((connection) => connection.blackHole());
  }

  /** Resets the connection on which, counted over all, that many more answer bytes have come. */
  public truncateAfter(bytes: number): void {
    this.bytesLeft = bytes;
  }

  /** @inheritdoc */
  public dispose(): Promise<void> {
    return this.cut();
  }

  private async listen(): Promise<void> {
    if (this.server !== undefined) return;
    const server = net.createServer({ allowHalfOpen: true }, (socket) => this.accept(socket));
    this.server = server;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.port, HOST, resolve);
    });
  }

  private accept(client: net.Socket): void {
    this.acceptedCount += 1;
    const separator = this.upstream.lastIndexOf(':');
    const host = this.upstream.slice(0, separator);
    const port = Number(this.upstream.slice(separator + 1));
    const server = net.connect({ host, port, allowHalfOpen: true });
    const connection = new proxiedConnection.ProxiedConnection(this.time, client, server, {
      delayMs: () => this.delayMs,
      isSilenced: (direction) => this.silenced === direction || this.silenced === DIRECTIONS.BOTH,
      takeDownBytes: (count) => this.takeDownBytes(count),
      countForwarded: (count) => {
        this.forwardedBytes += count;
      },
    });
    this.connections.add(connection);
    connection
      .run()
      .catch(() => undefined)
      .finally(() => this.connections.delete(connection));
  }

  private takeDownBytes(count: number): number {
    if (this.bytesLeft === undefined) return count;
    const taken = Math.min(count, this.bytesLeft);
    this.bytesLeft -= taken;
    if (taken < count) this.bytesLeft = undefined;
    return taken;
  }
}
