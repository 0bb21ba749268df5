import type * as net from 'node:net';

/**
 * Bounds the connections of a server. While there are as many as allowed, a new one takes the place of
 * the one that has been idle for the longest time, which its caller can open again without a loss. One
 * on which no request has arrived in full counts as idle.
 */
export class ConnectionLimiter {
  private readonly counted = new Set<net.Socket>();

  /** In the order in which they became idle. */
  private readonly idle = new Set<net.Socket>();

  public constructor(private readonly maximumConnections: number) {}

  /** Adds a new connection. Closes it if all connections are in use. */
  public add(socket: net.Socket): void {
    this.counted.add(socket);
    this.idle.add(socket);
    socket.once('close', () => this.exempt(socket));
    if (this.counted.size <= this.maximumConnections) return;
    const [longestIdle = socket] = this.idle;
    this.exempt(longestIdle);
    longestIdle.destroy();
  }

  /** Called when the header of a request has arrived. */
  public markReading(socket: net.Socket): void {
    // A connection with a running request is not idle while it receives a further one.
    if (this.idle.delete(socket)) this.idle.add(socket);
  }

  /** Called when a request of a connection has arrived in full. */
  public markBusy(socket: net.Socket): void {
    this.idle.delete(socket);
  }

  /** Called when all requests of a connection have been answered. */
  public markIdle(socket: net.Socket): void {
    if (this.counted.has(socket)) this.idle.add(socket);
  }

  /** Counts a connection no longer. */
  public exempt(socket: net.Socket): void {
    this.counted.delete(socket);
    this.idle.delete(socket);
  }
}
