import type * as clock from '@limpettack/clock';
import type * as errors from '@limpettack/errors';
import type * as routeKinds from './RouteKinds.js';
import type * as sendFailures from './SendFailures.js';

/** The name of a kind of route. */
export type RouteKind = (typeof routeKinds.ROUTE_KINDS)[keyof typeof routeKinds.ROUTE_KINDS];

/** The name of a way in which sending fails. */
export type SendFailureKind =
  (typeof sendFailures.SEND_FAILURES)[keyof typeof sendFailures.SEND_FAILURES];

/** A pool of a route with its share of the traffic. */
export interface WeightedPool {
  readonly pool: string;
  readonly weight: number;
}

/** A route: which requests it takes and what may be done with them. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** The longest time that a request is kept waiting. */
  readonly timeoutMs: clock.Milliseconds;
  /** The time within which an answer is worth most. */
  readonly objectiveMs: clock.Milliseconds;
  /** Targets that one request may run on at most. */
  readonly maximumAttempts: number;
  /** 0 goes first. */
  readonly priority: number;
  /** Whether callers need no key. */
  readonly isOpen: boolean;
  /** Whether requests for the same object do better at the same target. */
  readonly isSticky: boolean;
  /** Whether a stream that broke off may go on at another target. */
  readonly isResumable: boolean;
  /** Whether turns are kept, and later ones carry only what is new. */
  readonly keepsTurns: boolean;
  readonly retentionMs: clock.Milliseconds;
  readonly pools: readonly WeightedPool[];
}

/** What the tables say of a pool. */
export interface Pool {
  readonly name: string;
  /** Connections that each of its targets takes from all VMs together. */
  readonly maximumConnections: number;
  /** Tokens in each event of a stream. */
  readonly tokensPerEvent: number;
}

/** A workspace and its limit over the whole fleet. */
export interface Workspace {
  readonly name: string;
  /** Goes before the priority of the route. */
  readonly priority: number | undefined;
  /** 0 where there is no limit. */
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** What callers may send. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: clock.Milliseconds;
  readonly idleTimeoutMs: clock.Milliseconds;
}

/** One version of the operators' tables. */
export interface Tables {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly pools: ReadonlyMap<string, Pool>;
  /** Workspaces by key; empty where the installation has no keys. */
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
  /** Identifies the process: a target may start again under its id. */
  readonly incarnation: string;
}

/** The place of a request in an agent program. */
export interface ProgramPlace {
  readonly program: string;
  /** Tokens that all turns of the program may generate; nothing for calls of tools. */
  readonly budgetTokens: number | undefined;
  readonly previousTurn: string | undefined;
}

/** A request of a caller, whole. */
export interface Call {
  /** Unique for each attempt of a caller. */
  readonly id: string;
  readonly method: string;
  readonly host: string;
  /** With the query. */
  readonly path: string;
  /** Names and values by turns, without those of one connection or of this system. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  readonly key: string | undefined;
  /** How long the caller waits, counted from `receivedAt`. */
  readonly patienceMs: clock.Milliseconds | undefined;
  readonly receivedAt: clock.Milliseconds;
  readonly place: ProgramPlace | undefined;
  /** Tokens that the request generates at most. */
  readonly mostTokens: number;
  /** The last event of the same stream that the caller has. */
  readonly lastEventId: number | undefined;
  /** Names the object that the request is about, for routes that are sticky. */
  readonly affinity: string | undefined;
  /** Aborts when the caller has gone. */
  readonly gone: AbortSignal;
}

/** Status and header fields of a target's answer. */
export interface AnswerHead {
  readonly status: number;
  /** Names and values by turns, without those of one connection. */
  readonly headers: readonly string[];
  /**
   * Whether only the end of the connection tells the end of the answer. Nobody can tell such an
   * answer from one that broke off, so it is passed on in the same way.
   */
  readonly isUnframed: boolean;
}

/** A target's answer, whole. */
export interface WholeAnswer extends AnswerHead {
  readonly body: Uint8Array;
}

/** Where the answer to a caller goes. */
export interface Reply {
  /** Whether the head of an answer has been sent. */
  readonly hasStarted: boolean;
  /** Answers with a fault of our own. */
  refuse(fault: errors.Fault): void;
  /** Answers with a target's whole answer. */
  send(answer: WholeAnswer): void;
  /** Sends the head of a stream. */
  start(head: AnswerHead): void;
  /** Sends a part of a stream. */
  write(chunk: Uint8Array): void;
  /** Ends a stream as complete. */
  end(): void;
  /** Ends a stream so that it cannot be taken for complete. */
  breakOff(): void;
}

/** A request as it goes to a target. */
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
  /** Whether a connection may be used that was idle, and so may be closed already. */
  readonly mayReuseIdle: boolean;
}

/** Why a target has not answered. */
export interface SendFailure {
  readonly kind: SendFailureKind;
  readonly reason: string;
  /** Whether the target closed the connection while it had the request. */
  readonly isDisconnect: boolean;
}

/** Takes in an answer. Either `onEnd` or `onFailure` comes last, once. */
export interface AnswerHandler {
  onHead(head: AnswerHead): void;
  onData(chunk: Uint8Array): void;
  onEnd(): void;
  onFailure(failure: SendFailure): void;
}

/** A request on its way. */
export interface Exchange {
  /** Gives the request up, so that the target stops; the handler hears no more. */
  abort(): void;
}

/** Sends requests to targets. */
export interface TargetTransport {
  send(target: Target, request: TargetRequest, handler: AnswerHandler): Exchange;
}
