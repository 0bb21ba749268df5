import * as http from 'node:http';
import type * as net from 'node:net';

import type * as lifetime from '@limpettack/lifetime';

import * as resetSocket from './resetSocket.js';

/** Handles one request. A rejected promise destroys the connection. */
export type RequestListener = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
) => Promise<void>;

/** An HTTP server that can be stopped and started again on the same port. */
export class HttpListener implements lifetime.Disposable {
  private server: http.Server | undefined;

  private readonly sockets = new Set<net.Socket>();

  private boundPort: number;

  public constructor(
    private readonly host: string,
    port: number,
    private readonly listener: RequestListener,
  ) {
    this.boundPort = port;
  }

  /** Address on which the server listens, as `host:port`; valid once it has started. */
  public get address(): string {
    return `${this.host}:${this.boundPort}`;
  }

  /** Starts listening. Does nothing when the server is already listening. */
  public async start(): Promise<void> {
    if (this.server !== undefined) return;
    const server = http.createServer((request, response) => {
      this.listener(request, response).catch(() => request.socket.destroy());
    });
    this.server = server;
    server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.boundPort, this.host, resolve);
    });
    this.boundPort = (server.address() as net.AddressInfo).port;
  }

  /** Destroys all open connections. */
  public destroyConnections(): void {
    this.sockets.forEach(resetSocket.resetSocket);
  }

  /** Refuses new connections and destroys the open ones. */
  public async stop(): Promise<void> {
    const { server } = this;
    if (server === undefined) return;
    this.server = undefined;
    const closed = new Promise<void>((resolve) => {
      server.close(() => resolve());
    });
    this.destroyConnections();
    await closed;
  }

  /** @inheritdoc */
  public dispose(): Promise<void> {
    return this.stop();
  }
}
