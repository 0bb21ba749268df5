import type * as http from 'node:http';
import * as errors from '@limpettack/errors';

const MILLISECONDS_PER_SECOND = 1_000;

/** Sends a JSON response. Does nothing when the response has already started. */
export function respondJson(response: http.ServerResponse, status: number, body: unknown): void {
  if (response.headersSent) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** The response body that describes a fault. */
export function faultBody(fault: errors.Fault, requestId: string): Record<string, unknown> {
  return {
    kind: fault.kind,
    message: fault.message,
    run: fault.run,
    retryAfterMs: fault.retryAfterMs,
    requestId,
    ...(fault.details ?? {}),
  };
}

/** Responds with a fault. The status follows from the fault's kind. */
export function respondFault(
  response: http.ServerResponse,
  fault: errors.Fault,
  requestId: string,
): void {
  if (response.headersSent) {
    // The status has already been sent, so only a broken connection can signal the failure.
    response.destroy();
    return;
  }
  if (fault.retryAfterMs > 0) {
    response.setHeader('retry-after', Math.ceil(fault.retryAfterMs / MILLISECONDS_PER_SECOND));
  }
  const body = faultBody(fault, requestId);
  // Conventional clients expect an `error` object, so the body also contains one.
  respondJson(response, errors.ERROR_KINDS[fault.kind].status, {
    ...body,
    error: { message: fault.message, type: fault.kind, code: fault.kind },
  });
}

/** Writes to a caller and waits while it is slow. Returns false when it has disconnected. */
export async function writeWithBackpressure(
  response: http.ServerResponse,
  text: string,
  abortSignal: AbortSignal,
): Promise<boolean> {
  if (abortSignal.aborted || response.destroyed) return false;
  if (response.write(text)) return true;
  await new Promise<void>((resolve) => {
    const finish = (): void => {
      response.off('drain', finish);
      response.off('close', finish);
      abortSignal.removeEventListener('abort', finish);
      resolve();
    };
    response.on('drain', finish);
    response.on('close', finish);
    abortSignal.addEventListener('abort', finish, { once: true });
  });
  return !abortSignal.aborted && !response.destroyed;
}
