import type * as clock from '@limpettack/clock';
import type * as errors from '@limpettack/errors';
import type * as lifetime from '@limpettack/lifetime';
import type * as trueMyth from 'true-myth';
import type * as zod from 'zod';
import type * as peerFailures from './PeerFailures.js';

/** A process on a VM. */
export interface PeerIdentity {
  /** The VM's name, unique in the installation. */
  readonly name: string;
  /** Changes with each start of the process; later starts sort after earlier ones. */
  readonly incarnation: string;
  /** Where peers reach the process, as `host:port`. */
  readonly address: string;
  readonly failureDomain: string;
}

/** A request that one VM process sends to another, with its checks. Make one for each message. */
export interface PeerMethod<Request, Response> {
  /** Unique name, written `part.verb`. */
  readonly name: string;
  readonly request: zod.ZodType<Request>;
  readonly response: zod.ZodType<Response>;
}

/** A request that is answered by a stream of items, with its checks. */
export interface PeerStreamKind<Open, Item> {
  /** Unique name, written `part.verb`. */
  readonly name: string;
  readonly open: zod.ZodType<Open>;
  readonly item: zod.ZodType<Item>;
}

/** The name of a way in which a message to a peer fails. */
export type PeerFailureKind =
  (typeof peerFailures.PEER_FAILURES)[keyof typeof peerFailures.PEER_FAILURES];

/** Why a message to a peer has no answer. */
export interface PeerFailure {
  readonly kind: PeerFailureKind;
  readonly message: string;
  /** What the peer itself answered; set when the kind is `refused`. */
  readonly fault?: errors.Fault;
}

export type PeerResult<Value> = trueMyth.Result<Value, PeerFailure>;

/** Limits of one request to a peer. */
export interface RequestOptions {
  /** Time for the whole exchange, the opening of the link included. */
  readonly timeoutMs: clock.Milliseconds;
  /**
   * Whether the request itself shows that the link works, so that one that has been idle is not
   * checked before. When the answer does not come, the link is checked before the next probe.
   */
  readonly isProbe?: boolean;
}

/** Answers one kind of request. */
export type RequestHandler<Request, Response> = (
  request: Request,
  from: PeerIdentity,
) => Promise<trueMyth.Result<Response, errors.Fault>>;

/** Where the handler of a stream writes its items. */
export interface StreamSink<Item> {
  /**
   * Sends an item. Resolves when the receiver has room for more, so that a slow receiver holds
   * back only its own stream; false says that the receiver is gone.
   */
  send(item: Item): Promise<boolean>;
  /** Aborts when the receiver has cancelled the stream or its link is lost. */
  readonly closed: AbortSignal;
}

/** Serves one kind of stream. The stream ends when the promise settles. */
export type StreamHandler<Open, Item> = (
  open: Open,
  sink: StreamSink<Item>,
  from: PeerIdentity,
) => Promise<void>;

/** A stream that a peer sends. Iterate over its items; the last result tells how it ended. */
export interface PeerStream<Item> extends lifetime.Disposable {
  /** The next item; nothing when the stream has ended well; a failure when it broke off. */
  next(): Promise<PeerResult<Item | undefined>>;
}

/** All links of this process to its peers, opened on demand and authenticated on both sides. */
export interface PeerNetwork extends lifetime.Disposable {
  readonly self: PeerIdentity;

  /** Sends a request to the peer at an address. A request to the own address is served directly. */
  request<Request, Response>(
    address: string,
    method: PeerMethod<Request, Response>,
    request: Request,
    options: RequestOptions,
  ): Promise<PeerResult<Response>>;

  /** Opens a stream from the peer at an address. */
  openStream<Open, Item>(
    address: string,
    kind: PeerStreamKind<Open, Item>,
    open: Open,
  ): Promise<PeerResult<PeerStream<Item>>>;

  /** Serves a kind of request until disposed of. */
  serve<Request, Response>(
    method: PeerMethod<Request, Response>,
    handler: RequestHandler<Request, Response>,
  ): lifetime.Disposable;

  /** Serves a kind of stream until disposed of. */
  serveStream<Open, Item>(
    kind: PeerStreamKind<Open, Item>,
    handler: StreamHandler<Open, Item>,
  ): lifetime.Disposable;
}
