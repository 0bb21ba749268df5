import type * as http from 'node:http';

/** Matches a list of transfer codings whose last one is `chunked`. */
const ENDS_WITH_CHUNKED = /(?:^|,)\s*chunked\s*$/i;

/**
 * Whether the head of a response states where its body ends, so that a part of it can be distinguished
 * from all of it. A response with other transfer codings than chunks ends with its connection.
 */
export function isDelimited(headers: http.IncomingHttpHeaders): boolean {
  const codings = headers['transfer-encoding'];
  if (codings === undefined) return headers['content-length'] !== undefined;
  return ENDS_WITH_CHUNKED.test(String(codings));
}
