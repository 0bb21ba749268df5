import * as clock from '@limpettack/clock';
import * as trueMyth from 'true-myth';
import type * as undici from 'undici';
import type { ServiceResponse, TargetResult } from './Types.js';
import * as failures from './failures.js';
import * as headers from './headers.js';
import * as isDelimited from './isDelimited.js';
import * as connections from './TargetConnection.js';
import * as targetFailures from './TargetFailures.js';

const { BROKEN, CANCELLED, NOT_SENT, TIMED_OUT } = targetFailures.TARGET_FAILURES;

/** Maximum size of a response body, in bytes. */
const MAXIMUM_RESPONSE_BYTES = 64 * 1_024 * 1_024;

/** Statuses of responses without a body. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Options of an exchange. */
export interface ExchangeOptions {
  readonly url: string;
  readonly clock: clock.Clock;
  readonly connectMs: clock.Milliseconds;
  /** Time limit for the whole exchange. */
  readonly totalMs: clock.Milliseconds;
  readonly signal?: AbortSignal;
}

/**
 * Sends one request on its own connection and reads the complete response, with any status.
 * Fails with `not-sent`, `broken`, `timed-out`, `cancelled` or `invalid`.
 */
export async function exchange(
  request: connections.TargetRequest,
  options: ExchangeOptions,
): Promise<TargetResult<ServiceResponse>> {
  if (options.signal?.aborted) return failures.failed(NOT_SENT, 'The caller gave up.');
  const connection = new connections.TargetConnection(options.url, options.connectMs);
  const cancelled = createCancellation(options.signal);
  try {
    const work = Promise.race([readResponse(connection, request), cancelled.promise]);
    const answer = await clock.withTimeout(options.clock, options.totalMs, work);
    if (answer === clock.TIMED_OUT) return closeAndFail(connection, TIMED_OUT, 'Time is up.');
    return answer ?? closeAndFail(connection, CANCELLED, 'The caller gave up.');
  } catch (error) {
    return closeAndFail(connection, BROKEN, String(error));
  } finally {
    cancelled.dispose();
    connection.close();
  }
}

function createCancellation(signal: AbortSignal | undefined) {
  let dispose = (): void => undefined;
  const promise = new Promise<undefined>((resolve) => {
    const cancel = (): void => resolve(undefined);
    signal?.addEventListener('abort', cancel, { once: true });
    dispose = () => signal?.removeEventListener('abort', cancel);
  });
  return { promise, dispose };
}

async function readResponse(
  connection: connections.TargetConnection,
  request: connections.TargetRequest,
): Promise<TargetResult<ServiceResponse>> {
  const response = await connection.send(request);
  if (!hasDelimitedBody(request, response)) {
    return failures.invalid('The answer does not say where it ends, so it may be cut short.');
  }
  const body = await readBody(response.body);
  if (!body) return failures.invalid('The answer is larger than the limit.');
  return trueMyth.Result.ok({
    status: response.statusCode,
    headers: headers.responseHeaders(response.headers),
    body,
  });
}

async function readBody(body: AsyncIterable<Buffer>): Promise<Uint8Array | undefined> {
  const pieces: Buffer[] = [];
  let length = 0;
  for await (const piece of body) {
    pieces.push(piece);
    length += piece.length;
    if (length > MAXIMUM_RESPONSE_BYTES) return undefined;
  }
  return Buffer.concat(pieces);
}

/** Returns whether a truncated response can be distinguished from a complete one. */
function hasDelimitedBody(
  request: connections.TargetRequest,
  response: undici.Dispatcher.ResponseData,
): boolean {
  if (request.method === 'HEAD' || BODILESS_STATUSES.has(response.statusCode)) return true;
  return isDelimited.isDelimited(response.headers);
}

function closeAndFail(
  connection: connections.TargetConnection,
  kind: typeof BROKEN | typeof CANCELLED | typeof TIMED_OUT,
  message: string,
): TargetResult<ServiceResponse> {
  // A closed connection writes nothing more, so `mayHaveSent` is final.
  connection.close();
  return failures.failed(connection.mayHaveSent ? kind : NOT_SENT, message);
}
