import type * as http from 'node:http';
import type * as configuration from '@limpettack/configuration';
import type * as errors from '@limpettack/errors';
import type * as programs from '@limpettack/programs';
import type * as trueMyth from 'true-myth';

/** A result with a fault. */
export type Outcome<Value> = trueMyth.Result<Value, errors.Fault>;

/** A caller's request as its handler sees it. */
export interface CallerExchange {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly url: URL;
  /** Unique id of the request, given by the entry. */
  readonly requestId: string;
  readonly caller: configuration.Caller;
  /** The key itself, to make sure that it goes no further. */
  readonly key: string | undefined;
  /** Aborts when the caller is gone or its key has been withdrawn. */
  readonly gone: AbortSignal;
}

/** Answers one kind of request. Faults are answered by the server. */
export type ExchangeHandler = (exchange: CallerExchange) => Promise<errors.Fault | undefined>;

/** Reaches the homes of programs. */
export interface Homes {
  /** The answer of a call, piece by piece; the last piece is `finished` or `fault`. */
  call(
    request: programs.CallRequest,
    shardKey: string | undefined,
    gone: AbortSignal,
  ): AsyncGenerator<programs.CallItem, void, void>;
  open(request: OpenProgram): Promise<Outcome<programs.ProgramView>>;
  show(workspace: string | undefined, program: string): Promise<Outcome<programs.ProgramView>>;
  end(
    workspace: string | undefined,
    program: string,
    byOperator: boolean,
  ): Promise<Outcome<programs.ProgramView>>;
  showTurn(
    workspace: string | undefined,
    program: string,
    turn: number,
  ): Promise<Outcome<programs.RecordedTurn>>;
}

/** A program to open. */
export interface OpenProgram {
  readonly workspace?: string;
  readonly program: string;
  readonly route: string;
  readonly parent?: string;
  readonly budget: programs.Budget;
  readonly isDefaultBudget: boolean;
}

/** Limits of the callers' interface. */
export interface EntryLimits {
  readonly maximumBodyBytes: number;
  /** Time for a caller to send its header fields. */
  readonly headersTimeoutMs: number;
  /** Time for a caller to send its whole request. */
  readonly requestTimeoutMs: number;
  readonly maximumConnections: number;
}
