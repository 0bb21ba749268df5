import * as trueMyth from 'true-myth';
import * as undici from 'undici';
import * as zod from 'zod';
import type { CommandResult, ExitCode, OperatorsClient } from './Types.js';
import * as exitCodes from './ExitCodes.js';
import * as results from './results.js';

const { EXIT_CODES } = exitCodes;

const FIRST_ERROR_STATUS = 400;

const EXIT_CODES_BY_STATUS: ReadonlyMap<number, ExitCode> = new Map<number, ExitCode>([
  [409, EXIT_CODES.CONFLICT],
  [422, EXIT_CODES.INVALID],
  [503, EXIT_CODES.UNAVAILABLE],
]);

const FAULT = zod.object({ kind: zod.string(), message: zod.string() });

/** URL and credentials of a VM's operators' port. */
export interface HttpOperatorsClientOptions {
  readonly url: string;
  /** The operators' bearer token. */
  readonly token: string;
  readonly timeoutMs: number;
}

/** Calls a VM's operators' port over HTTP. */
export class HttpOperatorsClient implements OperatorsClient {
  public constructor(private readonly options: HttpOperatorsClientOptions) {}

  /** @inheritdoc */
  public async call(
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body?: unknown,
  ): Promise<trueMyth.Result<unknown, CommandResult>> {
    const response = await trueMyth.task.fromPromise(this.send(method, path, body), String);
    return response
      .mapErr((reason) => unreachableResult(this.options.url, reason))
      .andThen(({ status, text }) => interpretResponse(status, text));
  }

  private async send(
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body: unknown,
  ): Promise<{ status: number; text: string }> {
    const { timeoutMs, token, url } = this.options;
    const response = await undici.request(new URL(path, url), {
      method,
      headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json' },
      body: body === undefined ? null : JSON.stringify(body),
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
    });
    return { status: response.statusCode, text: await response.body.text() };
  }
}

function unreachableResult(url: string, reason: string): CommandResult {
  return results.failed(EXIT_CODES.UNAVAILABLE, `The VM at ${url} gave no answer: ${reason}`);
}

function interpretResponse(status: number, text: string): trueMyth.Result<unknown, CommandResult> {
  const parsed = trueMyth.result
    .tryOrElse(String, () => (text === '' ? {} : (JSON.parse(text) as unknown)))
    .mapErr(() => results.failed(EXIT_CODES.FAILED, `The VM's answer is not JSON (${status}).`));
  if (parsed.isErr || status < FIRST_ERROR_STATUS) return parsed;
  const fault = FAULT.safeParse(parsed.value);
  const message = fault.success ? fault.data.message : `The VM answered ${status}.`;
  const exitCode = EXIT_CODES_BY_STATUS.get(status) ?? EXIT_CODES.FAILED;
  return trueMyth.Result.err(results.failed(exitCode, message, { answer: parsed.value }));
}
