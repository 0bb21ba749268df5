import type * as clock from '@limpettack/clock';
import type * as errors from '@limpettack/errors';
import type * as lifetime from '@limpettack/lifetime';
import type * as trueMyth from 'true-myth';
import type * as zod from 'zod';
import type * as peerFailures from './PeerFailures.js';

/** Identifies a process on a VM. */
export interface PeerIdentity {
  /** The name of the VM, unique in the installation. */
  readonly name: string;
  /** Identifies one start of the process. Later starts sort after earlier ones. */
  readonly incarnation: string;
  /** The address at which peers reach the process, as `host:port`. */
  readonly address: string;
  readonly failureDomain: string;
}

/** A method that VM processes call on each other, with the schemas of its messages. */
export interface PeerMethod<Request, Response> {
  /** Unique name, written `part.verb`. */
  readonly name: string;
  readonly request: zod.ZodType<Request>;
  readonly response: zod.ZodType<Response>;
}

/** A kind of stream that a peer serves on request, with the schemas of its messages. */
export interface PeerStreamKind<Open, Item> {
  /** Unique name, written `part.verb`. */
  readonly name: string;
  readonly open: zod.ZodType<Open>;
  readonly item: zod.ZodType<Item>;
}

/** The kind of failure of a message to a peer. */
export type PeerFailureKind =
  (typeof peerFailures.PEER_FAILURES)[keyof typeof peerFailures.PEER_FAILURES];

/** Why a message to a peer has no result. */
export interface PeerFailure {
  readonly kind: PeerFailureKind;
  readonly message: string;
  /** The fault that the peer returned; set if the kind is `refused`. */
  readonly fault?: errors.Fault;
}

export type PeerResult<Value> = trueMyth.Result<Value, PeerFailure>;

/** Options of one request to a peer. */
export interface RequestOptions {
  /** Timeout of the whole exchange, including the opening of the link. */
  readonly timeoutMs: clock.Milliseconds;
  /**
   * Whether the request itself tests the link. An idle link is then used without a check. If the
   * request fails, the link is checked before the next probe.
   */
  readonly isProbe?: boolean;
}

/** Handles one kind of request. */
export type RequestHandler<Request, Response> = (
  request: Request,
  from: PeerIdentity,
) => Promise<trueMyth.Result<Response, errors.Fault>>;

/** Receives the items that the handler of a stream sends. */
export interface StreamSink<Item> {
  /**
   * Sends an item. Resolves with true once the receiver has room for another one, or with false
   * when the receiver is gone. A slow receiver delays only its own stream.
   */
  send(item: Item): Promise<boolean>;
  /** Aborts when the receiver cancels the stream or its link is lost. */
  readonly closed: AbortSignal;
}

/** Serves one kind of stream. The stream ends when the returned promise settles. */
export type StreamHandler<Open, Item> = (
  open: Open,
  sink: StreamSink<Item>,
  from: PeerIdentity,
) => Promise<void>;

/** A stream that a peer sends. Call `next` until it returns undefined or a failure. */
export interface PeerStream<Item> extends lifetime.Disposable {
  /** Returns the next item, undefined after the normal end of the stream, or a failure. */
  next(): Promise<PeerResult<Item | undefined>>;
}

/** The links of this process to its peers, opened on demand and mutually authenticated. */
export interface PeerNetwork extends lifetime.Disposable {
  readonly self: PeerIdentity;

  /** Sends a request to the peer at an address. A request to this process is served directly. */
  request<Request, Response>(
    address: string,
    method: PeerMethod<Request, Response>,
    request: Request,
    options: RequestOptions,
  ): Promise<PeerResult<Response>>;

  /** Opens a stream whose items the peer at an address sends. */
  openStream<Open, Item>(
    address: string,
    kind: PeerStreamKind<Open, Item>,
    open: Open,
  ): Promise<PeerResult<PeerStream<Item>>>;

  /** Registers the handler of a method until the result is disposed of. */
  serve<Request, Response>(
    method: PeerMethod<Request, Response>,
    handler: RequestHandler<Request, Response>,
  ): lifetime.Disposable;

  /** Registers the handler of a kind of stream until the result is disposed of. */
  serveStream<Open, Item>(
    kind: PeerStreamKind<Open, Item>,
    handler: StreamHandler<Open, Item>,
  ): lifetime.Disposable;
}
