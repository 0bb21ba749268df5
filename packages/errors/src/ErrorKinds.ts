import type { ErrorKindDefinition } from './Types.js';

/** What is known about whether a request reached a target. */
export const RUN_STATES = {
  /** The home sent no request to a target. */
  NOT_RUN: 'not-run',
  /** The request may have reached a target. */
  UNKNOWN: 'unknown',
  /** A target ran the request. */
  RAN: 'ran',
} as const;

const { NOT_RUN, UNKNOWN } = RUN_STATES;

/** All error kinds with the response to each. `docs/ERRORS.md` shows the same table. */
export const ERROR_KINDS = {
  'bad-request': {
    status: 400,
    run: NOT_RUN,
    retryAfterMs: 0,
    meaning: 'The request is malformed.',
  },
  'body-too-large': {
    status: 413,
    run: NOT_RUN,
    retryAfterMs: 0,
    meaning: 'The body is larger than the limit in the settings.',
  },
  'request-timeout': {
    status: 408,
    run: NOT_RUN,
    retryAfterMs: 1_000,
    meaning: 'The caller did not send the whole request in time.',
  },
  'not-found': {
    status: 404,
    run: NOT_RUN,
    retryAfterMs: 0,
    meaning: 'There is nothing at this path.',
  },
  'method-not-allowed': {
    status: 405,
    run: NOT_RUN,
    retryAfterMs: 0,
    meaning: 'The path does not take this method.',
  },
  'key-required': {
    status: 401,
    run: NOT_RUN,
    retryAfterMs: 0,
    meaning: 'The route is not open and no key came with the request.',
  },
  'key-unknown': {
    status: 401,
    run: NOT_RUN,
    retryAfterMs: 0,
    meaning: 'The key is not one that has been given.',
  },
  'key-withdrawn': {
    status: 401,
    run: UNKNOWN,
    retryAfterMs: 0,
    meaning: 'The key has been withdrawn.',
  },
  'route-unknown': {
    status: 404,
    run: NOT_RUN,
    retryAfterMs: 0,
    meaning: 'No route of this name is in the table that this workspace may reach.',
  },
  'program-unknown': {
    status: 404,
    run: NOT_RUN,
    retryAfterMs: 0,
    meaning: 'The workspace has no program of this id.',
  },
  'program-ended': {
    status: 409,
    run: NOT_RUN,
    retryAfterMs: 0,
    meaning: 'The program has ended and takes no further calls.',
  },
  'turn-unknown': {
    status: 404,
    run: NOT_RUN,
    retryAfterMs: 0,
    meaning: 'The program has no completed turn of this number.',
  },
  'turn-out-of-order': {
    status: 409,
    run: NOT_RUN,
    retryAfterMs: 500,
    meaning: 'An earlier turn of the program has not been completed.',
  },
  'turn-mismatch': {
    status: 409,
    run: NOT_RUN,
    retryAfterMs: 0,
    meaning: 'The turn was already called with another content.',
  },
  'history-incomplete': {
    status: 409,
    run: NOT_RUN,
    retryAfterMs: 1_000,
    meaning: 'The home cannot prove that it holds every earlier turn of the program.',
  },
  'budget-exhausted': {
    status: 409,
    run: NOT_RUN,
    retryAfterMs: 0,
    meaning: 'The program has used up its budget of tokens, calls or time.',
  },
  'budget-not-reserved': {
    status: 503,
    run: NOT_RUN,
    retryAfterMs: 2_000,
    meaning: 'The log is down and the reserved part of the budget is used up.',
  },
  'rate-limited': {
    status: 429,
    run: NOT_RUN,
    retryAfterMs: 1_000,
    meaning: 'The workspace is over its rate and burst.',
  },
  overloaded: {
    status: 503,
    run: NOT_RUN,
    retryAfterMs: 1_000,
    meaning: 'The queue of the pool is past its bound for this workspace.',
  },
  'deadline-unreachable': {
    status: 503,
    run: NOT_RUN,
    retryAfterMs: 1_000,
    meaning: 'The call is not expected to finish before its deadline.',
  },
  'deadline-exceeded': {
    status: 504,
    run: UNKNOWN,
    retryAfterMs: 1_000,
    meaning: 'The call did not finish before its deadline.',
  },
  'target-unavailable': {
    status: 503,
    run: NOT_RUN,
    retryAfterMs: 1_000,
    meaning: 'No target of the pool can take the call.',
  },
  'target-failed': {
    status: 502,
    run: UNKNOWN,
    retryAfterMs: 1_000,
    meaning: 'The target failed while it ran the call.',
  },
  'request-quarantined': {
    status: 422,
    run: NOT_RUN,
    retryAfterMs: 0,
    meaning: 'Targets died while they ran this request, so it is not run again.',
  },
  'idempotency-key-required': {
    status: 400,
    run: NOT_RUN,
    retryAfterMs: 0,
    meaning: 'The route is not repeatable and the request has no Idempotency-Key.',
  },
  'idempotency-key-reused': {
    status: 422,
    run: NOT_RUN,
    retryAfterMs: 0,
    meaning: 'The Idempotency-Key was already used with another request.',
  },
  'outcome-unknown': {
    status: 409,
    run: UNKNOWN,
    retryAfterMs: 0,
    meaning: 'The call may have run and its outcome is not known; it is not run again.',
  },
  'call-in-progress': {
    status: 409,
    run: UNKNOWN,
    retryAfterMs: 1_000,
    meaning: 'The same call is running already.',
  },
  'log-unavailable': {
    status: 503,
    run: NOT_RUN,
    retryAfterMs: 2_000,
    meaning: 'The platform log cannot take the record that must come before this call.',
  },
  'home-unavailable': {
    status: 503,
    run: UNKNOWN,
    retryAfterMs: 1_000,
    meaning: 'The VM that owns the program cannot be reached.',
  },
  'not-owner': {
    status: 503,
    run: NOT_RUN,
    retryAfterMs: 500,
    meaning: 'The VM that was asked does not own the shard.',
  },
  'stream-interrupted': {
    status: 502,
    run: UNKNOWN,
    retryAfterMs: 500,
    meaning: 'The answer broke off; it can be fetched again from the turn.',
  },
  'not-ready': {
    status: 503,
    run: NOT_RUN,
    retryAfterMs: 1_000,
    meaning: 'The VM has no current configuration yet or is cut off.',
  },
  'shutting-down': {
    status: 503,
    run: NOT_RUN,
    retryAfterMs: 500,
    meaning: 'The VM is shutting down; another one takes the request.',
  },
  'peer-untrusted': {
    status: 403,
    run: NOT_RUN,
    retryAfterMs: 0,
    meaning: 'The peer did not prove that it holds the secret of the fleet.',
  },
  'operator-untrusted': {
    status: 401,
    run: NOT_RUN,
    retryAfterMs: 0,
    meaning: 'The token of the operators is missing or wrong.',
  },
  'configuration-invalid': {
    status: 422,
    run: NOT_RUN,
    retryAfterMs: 0,
    meaning: 'The edit does not pass the checks and takes no effect.',
  },
  'configuration-conflict': {
    status: 409,
    run: NOT_RUN,
    retryAfterMs: 0,
    meaning: 'Another edit came first; the edit takes no effect.',
  },
  'settings-invalid': {
    status: 500,
    run: NOT_RUN,
    retryAfterMs: 0,
    meaning: 'The settings file does not pass the checks.',
  },
  internal: {
    status: 500,
    run: UNKNOWN,
    retryAfterMs: 1_000,
    meaning: 'The system failed in a way it does not expect.',
  },
} as const satisfies Readonly<Record<string, ErrorKindDefinition>>;
