import type * as http from 'node:http';

import type * as zod from 'zod';

/** Reads the whole body of a request. */
export async function readBody(request: http.IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
}

/** Answers with JSON, or with an empty body when there is none. */
export function sendJson(response: http.ServerResponse, status: number, body?: unknown): void {
  if (body === undefined) {
    response.writeHead(status).end();
    return;
  }
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body));
}

/** Checks a JSON text; undefined when it is not what the schema asks for. */
export function parseJson<Value>(schema: zod.ZodType<Value>, text: string): Value | undefined {
  try {
    return schema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}

/** The path and the query of a request. */
export function parseUrl(request: http.IncomingMessage): URL {
  return new URL(request.url ?? '/', 'http://stand-in');
}

/** The value of a header field, lower case name, or undefined. */
export function headerOf(request: http.IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** The number that a field holds, or undefined when it holds none. */
export function numberOf(text: string | undefined): number | undefined {
  const value = text === undefined ? Number.NaN : Number(text);
  return Number.isNaN(value) ? undefined : value;
}
