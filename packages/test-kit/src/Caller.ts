import * as undici from 'undici';

const DEFAULT_TIMEOUT_MS = 30_000;

/** The URL at which a caller reaches a VM. */
export interface CallerEndpoint {
  readonly url: string;
}

/** A response as received by the caller. */
export interface CallerResponse {
  /** HTTP status; 0 if the request failed before the complete response was received. */
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly text: string;
}

/** The body of a refusal. */
export interface Refusal {
  readonly kind: string;
  readonly run: string;
  readonly retryAfterMs: number;
  readonly lastTurn?: number;
}

/** The program, turn and time limits of a call. */
export interface CallOptions {
  readonly program?: string;
  readonly turn?: number;
  readonly deadlineMs?: number;
  readonly timeoutMs?: number;
  readonly signal?: AbortSignal;
}

/** Options of a model call. */
export interface ChatOptions extends CallOptions {
  readonly route?: string;
  readonly text: string;
  readonly maximumTokens?: number;
}

/** Options of a service call. */
export interface ServiceOptions extends CallOptions {
  readonly route: string;
  readonly path?: string;
  readonly method?: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly idempotencyKey?: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
}

/** An event of a streamed response. */
export interface StreamEvent {
  readonly id: string;
  readonly data: string;
}

/** A caller with a workspace's key, or with no key. Each request uses a new connection. */
export class Caller {
  public constructor(
    private readonly key: string | undefined,
    private readonly modelRoute: string,
  ) {}

  /** Opens a program and returns its id. Throws if it is refused. */
  public async openProgram(
    vm: CallerEndpoint,
    options: Readonly<Record<string, unknown>> = {},
  ): Promise<string> {
    const body = JSON.stringify({ route: this.modelRoute, ...options });
    const response = await this.send(vm, 'POST', '/v1/programs', { body });
    if (response.status !== 201)
      throw new Error(`The program was not opened: ${response.status} ${response.text}`);
    return (JSON.parse(response.text) as { program: string }).program;
  }

  /** Makes a non-streaming model call. */
  public chat(vm: CallerEndpoint, options: ChatOptions): Promise<CallerResponse> {
    const body = this.chatBody(options, false);
    return this.send(vm, 'POST', '/v1/chat/completions', { ...options, body });
  }

  /** Makes a streaming model call. Throws if the call is refused or the stream is interrupted. */
  public async *stream(
    vm: CallerEndpoint,
    options: ChatOptions,
  ): AsyncGenerator<StreamEvent, void, void> {
    const response = await undici.request(`${vm.url}/v1/chat/completions`, {
      method: 'POST',
      headers: this.headers(options),
      body: this.chatBody(options, true),
      reset: true,
      signal: options.signal ?? AbortSignal.timeout(options.timeoutMs ?? DEFAULT_TIMEOUT_MS),
    });
    if (response.statusCode !== 200) {
      throw new Error(
        `The stream was refused: ${response.statusCode} ${await response.body.text()}`,
      );
    }
    let buffered = '';
    for await (const chunk of response.body.setEncoding('utf8')) {
      const events = (buffered + String(chunk)).split('\n\n');
      buffered = events.pop() ?? '';
      yield* events.flatMap(parseEvent);
    }
  }

  /** Makes a service call. */
  public service(vm: CallerEndpoint, options: ServiceOptions): Promise<CallerResponse> {
    const path = `/v1/services/${options.route}${options.path ?? '/'}`;
    const { idempotencyKey } = options;
    const headers = {
      ...options.headers,
      ...(idempotencyKey === undefined ? {} : { 'idempotency-key': idempotencyKey }),
    };
    return this.send(vm, options.method ?? 'POST', path, { ...options, headers });
  }

  /** Sends a request to any path. */
  public async send(
    vm: CallerEndpoint,
    method: 'GET' | 'POST' | 'PUT' | 'DELETE',
    path: string,
    options: CallOptions & {
      readonly body?: string;
      readonly headers?: Readonly<Record<string, string>>;
    } = {},
  ): Promise<CallerResponse> {
    try {
      const response = await undici.request(vm.url + path, {
        method,
        headers: { ...this.headers(options), ...options.headers },
        body: options.body ?? null,
        reset: true,
        signal: options.signal ?? AbortSignal.timeout(options.timeoutMs ?? DEFAULT_TIMEOUT_MS),
      });
      const text = await response.body.text();
      return { status: response.statusCode, headers: joinHeaderValues(response.headers), text };
    } catch (error) {
      return { status: 0, headers: {}, text: String(error) };
    }
  }

  private chatBody(options: ChatOptions, stream: boolean): string {
    return JSON.stringify({
      model: options.route ?? this.modelRoute,
      messages: [{ role: 'user', content: options.text }],
      max_tokens: options.maximumTokens ?? 8,
      stream,
    });
  }

  private headers(options: CallOptions): Record<string, string> {
    return {
      'content-type': 'application/json',
      ...(this.key === undefined ? {} : { authorization: `Bearer ${this.key}` }),
      ...(options.program === undefined ? {} : { 'limpettack-program': options.program }),
      ...(options.turn === undefined ? {} : { 'limpettack-turn': String(options.turn) }),
      ...(options.deadlineMs === undefined
        ? {}
        : { 'limpettack-deadline-ms': String(options.deadlineMs) }),
    };
  }
}

/** Parses the body of a refusal. */
export function refusalOf(response: CallerResponse): Refusal {
  return JSON.parse(response.text) as Refusal;
}

/** Returns the generated text of a non-streamed model response. */
export function contentOf(response: CallerResponse): string {
  const body = JSON.parse(response.text) as { choices: { message: { content: string } }[] };
  return body.choices[0]?.message.content ?? '';
}

/** Returns the generated text of a stream event, or an empty string if it has none. */
export function textOfEvent(event: StreamEvent): string {
  if (!event.data.startsWith('{')) return '';
  const body = JSON.parse(event.data) as { choices?: { delta?: { content?: string } }[] };
  return body.choices?.[0]?.delta?.content ?? '';
}

function parseEvent(text: string): StreamEvent[] {
  const lines = text.split('\n');
  const data = lines.find((line) => line.startsWith('data: '))?.slice('data: '.length);
  if (data === undefined) return [];
  const id = lines.find((line) => line.startsWith('id: '))?.slice('id: '.length) ?? '';
  return [{ id, data }];
}

function joinHeaderValues(headers: Readonly<Record<string, string | string[] | undefined>>) {
  return Object.fromEntries(
    Object.entries(headers).map(([name, value]) => [name, [value ?? ''].flat().join(', ')]),
  );
}
