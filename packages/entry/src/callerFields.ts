import type * as http from 'node:http';
import * as errors from '@limpettack/errors';
import * as programs from '@limpettack/programs';
import * as trueMyth from 'true-myth';
import type { FaultResult } from './Types.js';

const MAXIMUM_TURN = 100_000;
const MAXIMUM_DEADLINE_MS = 86_400_000;
const WHOLE_NUMBER_PATTERN = /^[1-9][0-9]{0,8}$/;
const KEY_PATTERN = /^[A-Za-z0-9._~+/=-]{1,512}$/;
const BEARER_PREFIX = 'bearer ';

/** The program and turn of a call and its deadline, from the caller's header fields. */
export interface CallHeaders {
  readonly program: string | undefined;
  readonly turn: number | undefined;
  readonly deadlineMs: number | undefined;
}

/**
 * Reads the caller's key from the Authorization field; undefined if the request has no such field.
 * Fault: `bad-request`.
 */
export function readKey(request: http.IncomingMessage): FaultResult<string | undefined> {
  const field = request.headers.authorization;
  if (field === undefined) return trueMyth.Result.ok(undefined);
  const key = field.slice(BEARER_PREFIX.length).trim();
  if (!field.toLowerCase().startsWith(BEARER_PREFIX) || !KEY_PATTERN.test(key)) {
    return trueMyth.Result.err(
      errors.createFault('bad-request', 'The Authorization field is not "Bearer KEY".'),
    );
  }
  return trueMyth.Result.ok(key);
}

/** Reads the header fields with the program, turn and deadline of a call. Fault: `bad-request`. */
export function readCallHeaders(request: http.IncomingMessage): FaultResult<CallHeaders> {
  const program = firstValue(request.headers['limpettack-program']);
  const turn = readNumber(request, 'limpettack-turn', MAXIMUM_TURN);
  const deadlineMs = readNumber(request, 'limpettack-deadline-ms', MAXIMUM_DEADLINE_MS);
  if (turn.isErr) return trueMyth.Result.err(turn.error);
  if (deadlineMs.isErr) return trueMyth.Result.err(deadlineMs.error);
  if (program !== undefined && !programs.isProgramId(program)) {
    return trueMyth.Result.err(errors.createFault('bad-request', 'The program id is malformed.'));
  }
  return trueMyth.Result.ok({ program, turn: turn.value, deadlineMs: deadlineMs.value });
}

/** Parses a turn number. Returns undefined when it is malformed or too large. */
export function parseTurn(text: string): number | undefined {
  return WHOLE_NUMBER_PATTERN.test(text) && Number(text) <= MAXIMUM_TURN ? Number(text) : undefined;
}

function readNumber(
  request: http.IncomingMessage,
  field: string,
  maximum: number,
): FaultResult<number | undefined> {
  const text = firstValue(request.headers[field]);
  if (text === undefined) return trueMyth.Result.ok(undefined);
  if (!WHOLE_NUMBER_PATTERN.test(text) || Number(text) > maximum) {
    return trueMyth.Result.err(errors.createFault('bad-request', `${field} is malformed.`));
  }
  return trueMyth.Result.ok(Number(text));
}

function firstValue(field: string | string[] | undefined): string | undefined {
  return Array.isArray(field) ? field[0] : field;
}
