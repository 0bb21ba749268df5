import type * as clock from '@limpettack/clock';
import type * as errors from '@limpettack/errors';
import type * as lifetime from '@limpettack/lifetime';
import type * as trueMyth from 'true-myth';
import type * as routeKinds from './RouteKinds.js';
import type * as sampleKinds from './SampleKinds.js';
import type * as sendFailures from './SendFailures.js';

/** A value of `ROUTE_KINDS`. */
export type RouteKind = (typeof routeKinds.ROUTE_KINDS)[keyof typeof routeKinds.ROUTE_KINDS];

/** A value of `SEND_FAILURES`. */
export type SendFailureKind =
  (typeof sendFailures.SEND_FAILURES)[keyof typeof sendFailures.SEND_FAILURES];

/** A value of `SAMPLE_KINDS`. */
export type SampleKind = (typeof sampleKinds.SAMPLE_KINDS)[keyof typeof sampleKinds.SAMPLE_KINDS];

/** A pool of a route and its relative share of the traffic. */
export interface WeightedPool {
  readonly pool: string;
  readonly weight: number;
}

/** A route: the requests that it matches and how they may be handled. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Maximum time that a caller waits for the response. */
  readonly timeoutMs: clock.Milliseconds;
  /** Latency objective for responses. */
  readonly latencyObjectiveMs: clock.Milliseconds;
  /** Maximum number of targets that one request may run on. */
  readonly maximumAttempts: number;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Whether callers need no API key. */
  readonly isPublic: boolean;
  /** Whether requests with the same affinity prefer the same target. */
  readonly isSticky: boolean;
  /** Whether an interrupted stream may resume at another target. */
  readonly isResumable: boolean;
  /** Whether turns are retained, so that a later turn needs to contain only its new input. */
  readonly retainsTurns: boolean;
  readonly retentionMs: clock.Milliseconds;
  readonly pools: readonly WeightedPool[];
  /** Requests may run only in these regions; in all if there are none. */
  readonly homeRegions?: readonly string[] | undefined;
}

/** How targets of a pool are treated that have just started. */
export interface ColdStart {
  /** Time for which a target is cold after its start, unless its entry states another time. */
  readonly durationMs: clock.Milliseconds;
  /** Number of requests per second that all VMs together may send to a cold target. */
  readonly ratePerSecond: number;
}

/** Configuration of a pool. */
export interface Pool {
  readonly name: string;
  /** Maximum number of connections from all VMs together to each target of the pool. */
  readonly maximumConnections: number;
  /** Number of tokens in each event of a stream. */
  readonly tokensPerEvent: number;
  /** Undefined if the targets of the pool are never cold. */
  readonly coldStart?: ColdStart | undefined;
}

/** A workspace and its rate limit for the whole fleet. */
export interface Workspace {
  readonly name: string;
  /** Overrides the priority of the route, if defined. */
  readonly priority: number | undefined;
  /** 0 if there is no limit. */
  readonly ratePerSecond: number;
  readonly burst: number;
  /** Requests may run only in these regions; in all if there are none. */
  readonly homeRegions?: readonly string[] | undefined;
}

/** Limits for requests of callers. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: clock.Milliseconds;
  readonly idleTimeoutMs: clock.Milliseconds;
}

/** One version of the operators' tables: routes, pools, workspaces and limits for callers. */
export interface Tables {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly pools: ReadonlyMap<string, Pool>;
  /** Workspaces by API key; empty if the installation has no keys. */
  readonly workspacesByKey: ReadonlyMap<string, Workspace>;
  readonly workspaces: ReadonlyMap<string, Workspace>;
  readonly needsKeys: boolean;
  readonly callerLimits: CallerLimits;
}

/** A process that runs requests. */
export interface Target {
  readonly id: string;
  readonly pool: string;
  /** As `host:port`. */
  readonly address: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly isDraining: boolean;
  /** Identifies the process, because a target may restart with the same id. */
  readonly incarnation: string;
}

/** A target's entry in the list of targets. */
export interface ListedTarget {
  readonly target: Target;
  /**
   * How long the target remains cold as of when the entry was written; undefined if the entry does
   * not state it. An error is the reason why the statement is malformed.
   */
  readonly coldLeftMs: trueMyth.Result<clock.Milliseconds | undefined, string>;
}

/** The agent program of a request and the position of the request in it. */
export interface ProgramContext {
  readonly program: string;
  /**
   * Maximum number of tokens that all turns of the program together may generate; undefined for
   * tool calls.
   */
  readonly budgetTokens: number | undefined;
  readonly previousTurn: string | undefined;
}

/** A complete request of a caller. */
export interface Call {
  /** Unique for each attempt of a caller. */
  readonly id: string;
  readonly method: string;
  readonly host: string;
  /** Includes the query. */
  readonly path: string;
  /** Alternating names and values, without hop-by-hop headers and this system's own headers. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  readonly key: string | undefined;
  /** Timeout of the caller, counted from `receivedAt`. */
  readonly timeoutMs: clock.Milliseconds | undefined;
  readonly receivedAt: clock.Milliseconds;
  readonly programContext: ProgramContext | undefined;
  /** Maximum number of tokens that the request may generate. */
  readonly maximumTokens: number;
  /** Id of the last event that the caller has received, if it resumes a stream. */
  readonly lastEventId: number | undefined;
  /**
   * Identifies the object that the request is about. It determines the pool and, on stream and
   * sticky routes, the preferred target. On stream routes, and for the pool, the program takes
   * precedence.
   */
  readonly affinity: string | undefined;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** Status and header fields of a target's response. */
export interface ResponseHead {
  readonly status: number;
  /** Alternating names and values, without hop-by-hop headers. */
  readonly headers: readonly string[];
}

/** A target's complete response. */
export interface CompleteResponse extends ResponseHead {
  readonly body: Uint8Array;
}

/** Sends the response to a caller. */
export interface Reply {
  /** Whether the head of a response has been sent. */
  readonly hasStarted: boolean;
  /** Responds with a fault of this system. */
  refuse(fault: errors.Fault): void;
  /**
   * Reserves memory for a response that is collected before it is sent, until the caller has
   * received it. Returns false if there is no room, so that it must be passed on as it arrives.
   */
  reserve(bytes: number): boolean;
  /** Sends a target's complete response. */
  send(response: CompleteResponse): void;
  /** Sends the head of a stream. */
  start(head: ResponseHead): void;
  /** Sends a chunk of a stream. */
  write(chunk: Uint8Array): void;
  /**
   * Resolves when the caller has read so much that more of a stream should be sent, or has
   * disconnected. Undefined if more can be sent at once.
   */
  awaitReader(): Promise<void> | undefined;
  /** Ends a complete stream. */
  end(): void;
  /** Aborts a stream, so that the caller recognises it as incomplete. */
  abort(): void;
}

/** A request as it is sent to a target. */
export interface TargetRequest {
  readonly id: string;
  readonly method: string;
  readonly host: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  readonly workspace: string | undefined;
  readonly priority: number;
  readonly timeLeftMs: clock.Milliseconds;
  readonly lastEventId: number | undefined;
  /** Whether an idle connection may be reused, although the target may already have closed it. */
  readonly mayReuseIdle: boolean;
  /** The route, by which the response is measured. Without it, the response is not measured. */
  readonly route?: Pick<Route, 'kind' | 'name'>;
}

/** Why a request to a target failed. */
export interface SendFailure {
  readonly kind: SendFailureKind;
  readonly reason: string;
  /** Whether the target closed the connection while it was handling the request. */
  readonly isDisconnect: boolean;
}

/** Receives a response. Either `onEnd` or `onFailure` is called last, exactly once. */
export interface ResponseHandler {
  onHead(head: ResponseHead): void;
  onData(chunk: Uint8Array): void;
  onEnd(): void;
  onFailure(failure: SendFailure): void;
}

/** A request in flight. */
export interface Exchange {
  /** Cancels the request at the target. The handler is not called any more. */
  abort(): void;
  /** Stops receiving the response until `resume` is called. */
  pause(): void;
  resume(): void;
}

/** Sends requests to targets. */
export interface TargetTransport {
  send(target: Target, request: TargetRequest, handler: ResponseHandler): Exchange;
}

/** A record of a quarantine in the log. */
export interface QuarantineRecord {
  readonly fingerprint: string;
  /** Length of the quarantine; undefined if the record was removed. */
  readonly lengthMs: clock.Milliseconds | undefined;
}

/** The quarantines in the log, which outlive all processes. */
export interface QuarantineRecords {
  /** Fires for each record that is read, also for those that this process wrote. */
  readonly onRead: lifetime.Event<QuarantineRecord>;
  /** Writes a record in the background. */
  store(fingerprint: string, lengthMs: clock.Milliseconds): void;
  /** Removes a record in the background. */
  remove(fingerprint: string): void;
}
