import type * as http from 'node:http';

import type * as zod from 'zod';

/** Reads the whole body of a request. */
export async function readBody(request: http.IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
}

/** Sends a JSON response, or one without a body when `body` is undefined. */
export function sendJson(response: http.ServerResponse, status: number, body?: unknown): void {
  if (body === undefined) {
    response.writeHead(status).end();
    return;
  }
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body));
}

/** Parses JSON text; undefined when it is malformed or does not match the schema. */
export function parseJson<Value>(schema: zod.ZodType<Value>, text: string): Value | undefined {
  try {
    return schema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}

/** URL of a request; only its path and query are meaningful. */
export function parseUrl(request: http.IncomingMessage): URL {
  return new URL(request.url ?? '/', 'http://stand-in');
}

/** First value of a header, given its name in lower case; undefined when it is absent. */
export function headerOf(request: http.IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** Parses a header value as a number; undefined when it is absent or not a number. */
export function numberOf(text: string | undefined): number | undefined {
  const value = text === undefined ? Number.NaN : Number(text);
  return Number.isNaN(value) ? undefined : value;
}
