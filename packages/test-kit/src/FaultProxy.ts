import * as net from 'node:net';

import type * as clock from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';

import * as directions from './Directions.js';
import * as findFreePorts from './findFreePorts.js';
import * as proxiedConnection from './ProxiedConnection.js';
import type { Direction } from './Types.js';

const { DIRECTIONS } = directions;

const HOST = '127.0.0.1';

/** A TCP proxy to one address that injects faults on request. */
export class FaultProxy implements lifetime.Disposable {
  private readonly connections = new Set<proxiedConnection.ProxiedConnection>();

  private server: net.Server | undefined;

  private port = 0;

  private delayMs = 0;

  private silenced: Direction | undefined;

  private bytesUntilTruncation: number | undefined;

  /** Number of accepted connections. */
  public acceptedCount = 0;

  /** Number of bytes forwarded in both directions together. */
  public forwardedBytes = 0;

  public constructor(
    private readonly time: clock.Clock,
    /** The address to which connections are forwarded, as `host:port`. */
    private readonly upstream: string,
  ) {}

  /** The address on which the proxy listens, as `host:port`; valid after `start`. */
  public get address(): string {
    return `${HOST}:${this.port}`;
  }

  /** Number of open connections. */
  public get openCount(): number {
    return this.connections.size;
  }

  /** Starts to listen on a free port and keeps that port across `cut` and `restore`. */
  public async start(): Promise<void> {
    [this.port = 0] = await findFreePorts.findFreePorts(1);
    await this.listen();
  }

  /** Resets all connections and refuses new ones until `restore`. */
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

  /** Removes all faults, except from connections affected by `blackHoleEstablished`. */
  public async restore(): Promise<void> {
    this.delayMs = 0;
    this.bytesUntilTruncation = undefined;
    this.silence(undefined);
    await this.listen();
  }

  /** Resets all open connections; new ones are still accepted. */
  public resetConnections(): void {
    this.connections.forEach((connection) => connection.reset());
  }

  /** Delays all data in both directions by a number of milliseconds. */
  public delay(delayMs: clock.Milliseconds): void {
    this.delayMs = delayMs;
  }

  /** Suspends forwarding in a direction on open and new connections; undefined resumes it. */
  public silence(direction: Direction | undefined): void {
    this.silenced = direction;
    this.connections.forEach((connection) => connection.resume());
  }

  /** Drops all further data on open connections without closing them. New ones are unaffected. */
  public blackHoleEstablished(): void {
    this.connections.forEach((connection) => connection.blackHole());
  }

  /**
   * Closes a connection in mid-response after a number of further response bytes, counted over all
   * connections together.
   */
  public truncateAfter(bytes: number): void {
    this.bytesUntilTruncation = bytes;
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
      consumeDownstreamBytes: (count) => this.consumeDownstreamBytes(count),
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

  private consumeDownstreamBytes(count: number): number {
    if (this.bytesUntilTruncation === undefined) return count;
    const taken = Math.min(count, this.bytesUntilTruncation);
    this.bytesUntilTruncation -= taken;
    if (taken < count) this.bytesUntilTruncation = undefined;
    return taken;
  }
}
