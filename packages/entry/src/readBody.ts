import type * as http from 'node:http';
import * as errors from '@limpettack/errors';
import * as trueMyth from 'true-myth';
import type * as zod from 'zod';
import type { FaultResult } from './Types.js';

/** Reads a request's body up to a limit. Faults: `body-too-large`, `bad-request`. */
export async function readBody(
  request: http.IncomingMessage,
  maximumBytes: number,
): Promise<FaultResult<Buffer>> {
  const chunks: Buffer[] = [];
  let length = 0;
  try {
    for await (const chunk of request) {
      length += (chunk as Buffer).length;
      if (length > maximumBytes) {
        return trueMyth.Result.err(errors.createFault('body-too-large'));
      }
      chunks.push(chunk as Buffer);
    }
  } catch {
    return trueMyth.Result.err(errors.createFault('bad-request', 'The body broke off.'));
  }
  return trueMyth.Result.ok(Buffer.concat(chunks));
}

/** Parses and validates a JSON body. Fault: `bad-request` with the path of the first error. */
export function parseJson<Value>(body: Buffer, schema: zod.ZodType<Value>): FaultResult<Value> {
  let parsed: unknown;
  try {
    parsed = JSON.parse(body.toString('utf8'));
  } catch {
    return trueMyth.Result.err(errors.createFault('bad-request', 'The body is not JSON.'));
  }
  const checked = schema.safeParse(parsed);
  if (checked.success) return trueMyth.Result.ok(checked.data);
  const issue = checked.error.issues[0];
  const location = issue === undefined ? '' : `${issue.path.join('.')}: ${issue.message}`;
  return trueMyth.Result.err(
    errors.createFault('bad-request', `The body is malformed: ${location}`),
  );
}
