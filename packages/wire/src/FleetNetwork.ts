import * as http from 'node:http';
import type * as net from 'node:net';
import type * as clockTypes from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import * as trueMyth from 'true-myth';
import * as ws from 'ws';
import * as connectionLimiter from './ConnectionLimiter.js';
import * as creditSink from './CreditSink.js';
import * as handlerRegistry from './HandlerRegistry.js';
import * as performHandshake from './performHandshake.js';
import * as itemQueue from './ItemQueue.js';
import * as peerFailures from './PeerFailures.js';
import * as peerLink from './PeerLink.js';
import type * as readScheduler from './ReadScheduler.js';
import * as serverListener from './ServerListener.js';
import type {
  PeerFailureKind,
  PeerIdentity,
  PeerMethod,
  PeerNetwork,
  PeerResult,
  PeerStream,
  PeerStreamKind,
  RequestHandler,
  RequestOptions,
  StreamHandler,
} from './Types.js';

/** A link that has been idle for this time is checked before it is used again. */
const CHECK_AFTER_IDLE_MS = 1_000;

/** The maximum number of accepted connections whose handshake is not complete. */
const MAXIMUM_PENDING_HANDSHAKES = 256;

/** The maximum number of connections that have not completed their handshake, if no other is set. */
const MAXIMUM_UNAUTHENTICATED = 1_024;

/**
 * The maximum size of what is received on a connection before its handshake is complete, in bytes. It
 * may include the beginning of the first message after the handshake.
 */
const MAXIMUM_UNAUTHENTICATED_BYTES = 128 * 1024;

/** The maximum size of the header of a request to open a connection, in bytes. */
const MAXIMUM_HEADER_BYTES = 8 * 1024;

const { PEER_FAILURES } = peerFailures;

/** Dependencies and settings of the network. */
export interface FleetNetworkOptions {
  readonly name: string;
  readonly incarnation: string;
  readonly failureDomain: string;
  /** The `host:port` where peers reach this process, if it differs from the listening address. */
  readonly advertisedAddress?: string | undefined;
  /** The secret shared by all processes of the fleet. */
  readonly secret: string;
  /** The host to listen on for peers. */
  readonly host: string;
  /** The port to listen on for peers; 0 for any free port. */
  readonly port: number;
  /** The maximum number of connections that have not completed their handshake. */
  readonly maximumUnauthenticated?: number | undefined;
  readonly clock: clockTypes.Clock;
  readonly logger: logging.Logger;
  /** Paces what arrives on accepted connections, if it is set. */
  readonly reads?: readScheduler.ReadScheduler;
}

/**
 * Manages the links of this process: dials peers on demand and accepts the connections of peers.
 */
export class FleetNetwork implements PeerNetwork {
  private readonly registry: handlerRegistry.HandlerRegistry;

  private readonly server = http.createServer(
    { maxHeaderSize: MAXIMUM_HEADER_BYTES },
    (_request, response) => {
      response.writeHead(404).end();
    },
  );

  /** Counts the connections that have not completed their handshake. */
  private readonly unauthenticated: connectionLimiter.ConnectionLimiter;

  private readonly listener: serverListener.ServerListener;

  private readonly socketServer = new ws.WebSocketServer({
    noServer: true,
    maxPayload: performHandshake.MAXIMUM_MESSAGE_BYTES,
    maxFragments: performHandshake.MAXIMUM_FRAGMENTS,
    perMessageDeflate: false,
  });

  /** The links that requests of this process use, by address. */
  private readonly links = new Map<string, peerLink.PeerLink>();

  private readonly dialling = new Map<string, Promise<peerLink.PeerLink | undefined>>();

  private readonly allLinks = new Set<peerLink.PeerLink>();

  private pendingHandshakes = 0;

  private port = 0;

  private disposed = false;

  public constructor(private readonly options: FleetNetworkOptions) {
    const { clock, logger, maximumUnauthenticated = MAXIMUM_UNAUTHENTICATED } = options;
    this.unauthenticated = new connectionLimiter.ConnectionLimiter(maximumUnauthenticated);
    this.registry = new handlerRegistry.HandlerRegistry(logger);
    this.listener = new serverListener.ServerListener({ server: this.server, clock, logger });
    this.server.on('connection', (socket) => this.unauthenticated.add(socket));
    options.reads?.paceServer(this.server, 'peers');
    this.server.on('upgrade', (request, socket, head) => {
      this.accept(request, socket as net.Socket, head);
    });
  }

  /** @inheritdoc */
  public get self(): PeerIdentity {
    const { name, incarnation, failureDomain, host, advertisedAddress } = this.options;
    const address = advertisedAddress ?? `${host}:${this.port}`;
    return { name, incarnation, address, failureDomain };
  }

  /** The number of open links. */
  public get linkCount(): number {
    return this.allLinks.size;
  }

  /**
   * Listens for peers as soon as the address is free. Resolves with the port; rejects if it cannot
   * listen or is disposed of before.
   */
  public async listen(): Promise<number> {
    const { host, port } = this.options;
    this.port = await this.listener.listen({ host, port });
    return this.port;
  }

  /** @inheritdoc */
  public async request<Request, Response>(
    address: string,
    method: PeerMethod<Request, Response>,
    request: Request,
    options: RequestOptions,
  ): Promise<PeerResult<Response>> {
    if (address === this.self.address) return this.requestLocally(method, request);
    const startedAt = this.options.clock.now();
    const { isProbe = false } = options;
    const link = await this.obtainLinkWithTimeout(address, options.timeoutMs, isProbe);
    if (link === undefined) return failed(PEER_FAILURES.NOT_SENT, `No link to ${address}.`);
    const remaining = options.timeoutMs - (this.options.clock.now() - startedAt);
    if (remaining <= 0) return failed(PEER_FAILURES.NOT_SENT, `No link to ${address} in time.`);
    const result = await link.request(method.name, request, remaining);
    if (result.isErr && isProbe) link.markSuspect();
    if (result.isErr) return trueMyth.Result.err(result.error);
    const checked = method.response.safeParse(result.value);
    if (checked.success) return trueMyth.Result.ok(checked.data);
    return failed(PEER_FAILURES.LOST, `The answer to ${method.name} is malformed.`);
  }

  /** @inheritdoc */
  public async openStream<Open, Item>(
    address: string,
    kind: PeerStreamKind<Open, Item>,
    open: Open,
  ): Promise<PeerResult<PeerStream<Item>>> {
    if (address === this.self.address) return trueMyth.Result.ok(this.openLocalStream(kind, open));
    const link = await this.obtainLink(address);
    if (link === undefined) return failed(PEER_FAILURES.NOT_SENT, `No link to ${address}.`);
    const stream = link.openStream(kind.name, open);
    return trueMyth.Result.ok({
      next: async () => checkItem(kind, await stream.next()),
      dispose: () => stream.dispose(),
    });
  }

  /** @inheritdoc */
  public serve<Request, Response>(
    method: PeerMethod<Request, Response>,
    handler: RequestHandler<Request, Response>,
  ): lifetime.Disposable {
    return this.registry.serve(method, handler);
  }

  /** @inheritdoc */
  public serveStream<Open, Item>(
    kind: PeerStreamKind<Open, Item>,
    handler: StreamHandler<Open, Item>,
  ): lifetime.Disposable {
    return this.registry.serveStream(kind, handler);
  }

  /** @inheritdoc */
  public async dispose(): Promise<void> {
    if (this.disposed) return;
    this.disposed = true;
    this.listener.dispose();
    this.allLinks.forEach((link) => link.dispose());
    this.socketServer.close();
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }

  private async requestLocally<Request, Response>(
    method: PeerMethod<Request, Response>,
    request: Request,
  ): Promise<PeerResult<Response>> {
    const result = await this.registry.answer(method.name, request, this.self);
    if (result.isOk) return trueMyth.Result.ok(result.value as Response);
    const { error } = result;
    return trueMyth.Result.err({
      kind: PEER_FAILURES.REFUSED,
      message: error.message,
      fault: error,
    });
  }

  private openLocalStream<Open, Item>(
    kind: PeerStreamKind<Open, Item>,
    open: Open,
  ): PeerStream<Item> {
    const holder: { sink?: creditSink.CreditSink<unknown> } = {};
    const queue = new itemQueue.ItemQueue<Item>({
      onTaken: () => holder.sink?.addCredit(1),
      onCancelled: () => holder.sink?.close(),
    });
    const sink = new creditSink.CreditSink<unknown>(
      (item) => queue.push(item as Item),
      peerLink.STREAM_WINDOW_ITEMS,
    );
    holder.sink = sink;
    this.registry.run(kind.name, open, sink, this.self).then(() => queue.end());
    return queue;
  }

  /** Returns a working link, or undefined if none can be obtained within the timeout. */
  private async obtainLinkWithTimeout(
    address: string,
    timeoutMs: clockTypes.Milliseconds,
    isProbe: boolean,
  ): Promise<peerLink.PeerLink | undefined> {
    const timer = new AbortController();
    const link = await Promise.race([
      this.obtainLink(address, isProbe),
      this.options.clock.sleep(timeoutMs, timer.signal).then(() => undefined),
    ]);
    timer.abort();
    return link;
  }

  /**
   * Returns the existing link if it works, otherwise dials. A probe skips the check of an idle link
   * unless the link is suspect.
   */
  private async obtainLink(
    address: string,
    isProbe = false,
  ): Promise<peerLink.PeerLink | undefined> {
    const link = this.links.get(address);
    if (link === undefined || link.isClosed) return this.dial(address);
    const needsCheck = isProbe ? link.isSuspect : link.idleMs >= CHECK_AFTER_IDLE_MS;
    if (!needsCheck) return link;
    return (await link.check()) ? link : this.dial(address);
  }

  /** Dials an address. Concurrent calls for the same address share one attempt. */
  private dial(address: string): Promise<peerLink.PeerLink | undefined> {
    if (this.disposed) return Promise.resolve(undefined);
    const running = this.dialling.get(address);
    if (running !== undefined) return running;
    const dialled = this.dialNow(address).finally(() => this.dialling.delete(address));
    this.dialling.set(address, dialled);
    return dialled;
  }

  private async dialNow(address: string): Promise<peerLink.PeerLink | undefined> {
    const opened = await performHandshake.openHandshake(address, this.self, this.options.secret);
    if (opened === undefined) return undefined;
    return this.addLink(opened, address);
  }

  private addLink(
    connection: performHandshake.AuthenticatedConnection,
    address: string,
  ): peerLink.PeerLink | undefined {
    if (this.disposed || connection.socket.readyState !== ws.WebSocket.OPEN) {
      connection.socket.terminate();
      return undefined;
    }
    const link = new peerLink.PeerLink(connection, this.registry, this.options.clock);
    this.allLinks.add(link);
    this.links.set(address, link);
    link.onClose(() => {
      this.allLinks.delete(link);
      if (this.links.get(address) === link) this.links.delete(address);
    });
    link.start();
    return link;
  }

  private accept(request: http.IncomingMessage, socket: net.Socket, head: Buffer): void {
    if (this.pendingHandshakes >= MAXIMUM_PENDING_HANDSHAKES) {
      socket.destroy();
      return;
    }
    this.socketServer.handleUpgrade(request, socket, head, (accepted) => {
      this.acceptSocket(accepted, socket);
    });
  }

  private async acceptSocket(socket: ws.WebSocket, transport: net.Socket): Promise<void> {
    this.pendingHandshakes += 1;
    const onData = (): void => {
      if (transport.bytesRead > MAXIMUM_UNAUTHENTICATED_BYTES) transport.destroy();
    };
    transport.on('data', onData);
    const connection = await performHandshake.acceptHandshake(
      socket,
      this.self,
      this.options.secret,
    );
    this.pendingHandshakes -= 1;
    transport.off('data', onData);
    if (connection === undefined) {
      this.options.logger.warn('A connection failed the peer handshake.');
      return;
    }
    this.unauthenticated.exempt(transport);
    this.addAcceptedLink(connection);
  }

  /**
   * Adds an accepted link. Requests of this process use it too, unless another link to the peer is
   * open already.
   */
  private addAcceptedLink(connection: performHandshake.AuthenticatedConnection): void {
    const { address } = connection.peer;
    const existing = this.links.get(address);
    const link = this.addLink(connection, address);
    if (link === undefined || existing === undefined || existing.isClosed) return;
    this.links.set(address, existing);
  }
}

function checkItem<Open, Item>(
  kind: PeerStreamKind<Open, Item>,
  result: PeerResult<unknown>,
): PeerResult<Item | undefined> {
  if (result.isErr) return trueMyth.Result.err(result.error);
  if (result.value === undefined) return trueMyth.Result.ok(undefined);
  const checked = kind.item.safeParse(result.value);
  if (checked.success) return trueMyth.Result.ok(checked.data);
  return failed(PEER_FAILURES.LOST, `An item of ${kind.name} is malformed.`);
}

function failed<Value>(kind: PeerFailureKind, message: string): PeerResult<Value> {
  return trueMyth.Result.err({ kind, message });
}
