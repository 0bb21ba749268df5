import type * as http from 'node:http';
import * as errors from '@limpettack/errors';

const MILLISECONDS_PER_SECOND = 1_000;

/** Writes a JSON answer; nothing when the answer has been begun already. */
export function respondJson(response: http.ServerResponse, status: number, body: unknown): void {
  if (response.headersSent) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** The body that tells a caller of a fault. */
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

/** Answers a request with a fault, by the table of error kinds. */
export function respondFault(
  response: http.ServerResponse,
  fault: errors.Fault,
  requestId: string,
): void {
  if (response.headersSent) {
    // The answer has begun, so the only truthful end is a broken one.
    response.destroy();
    return;
  }
  if (fault.retryAfterMs > 0) {
    response.setHeader('retry-after', Math.ceil(fault.retryAfterMs / MILLISECONDS_PER_SECOND));
  }
  const body = faultBody(fault, requestId);
  // Ordinary clients look for an error object, so the fault stands there too.
  respondJson(response, errors.ERROR_KINDS[fault.kind].status, {
    ...body,
    error: { message: fault.message, type: fault.kind, code: fault.kind },
  });
}

/** Writes to a caller and waits while it is slow; false when it is gone. */
export async function writeSlowly(
  response: http.ServerResponse,
  text: string,
  gone: AbortSignal,
): Promise<boolean> {
  if (gone.aborted || response.destroyed) return false;
  if (response.write(text)) return true;
  await new Promise<void>((resolve) => {
    const finish = (): void => {
      response.off('drain', finish);
      response.off('close', finish);
      gone.removeEventListener('abort', finish);
      resolve();
    };
    response.on('drain', finish);
    response.on('close', finish);
    gone.addEventListener('abort', finish, { once: true });
  });
  return !gone.aborted && !response.destroyed;
}
