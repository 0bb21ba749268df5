import * as undici from 'undici';

const DEFAULT_TIMEOUT_MS = 30_000;

/** A VM as a caller sees it. */
export interface CallerEndpoint {
  readonly url: string;
}

/** An answer as the caller received it. */
export interface CallerAnswer {
  /** 0 when the connection broke before the whole answer had come. */
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly text: string;
}

/** The refusal in an answer. */
export interface Refusal {
  readonly kind: string;
  readonly run: string;
  readonly retryAfterMs: number;
  readonly lastTurn?: number;
}

/** Where a call stands and how long it may take. */
export interface CallPlace {
  readonly program?: string;
  readonly turn?: number;
  readonly deadlineMs?: number;
  readonly timeoutMs?: number;
  readonly signal?: AbortSignal;
}

/** A model call. */
export interface ChatOptions extends CallPlace {
  readonly route?: string;
  readonly text: string;
  readonly maximumTokens?: number;
}

/** A service call. */
export interface ServiceOptions extends CallPlace {
  readonly route: string;
  readonly path?: string;
  readonly method?: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly idempotencyKey?: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
}

/** One event of a streamed answer. */
export interface StreamEvent {
  readonly id: string;
  readonly data: string;
}

/** A caller of the system with a workspace's key, or without. Each request has its connection. */
export class Caller {
  public constructor(
    private readonly key: string | undefined,
    private readonly modelRoute: string,
  ) {}

  /** Opens a program and returns its id. Throws when it is refused. */
  public async openProgram(
    vm: CallerEndpoint,
    options: Readonly<Record<string, unknown>> = {},
  ): Promise<string> {
    const body = JSON.stringify({ route: this.modelRoute, ...options });
    const answer = await this.send(vm, 'POST', '/v1/programs', { body });
    if (answer.status !== 201) throw new Error(`No program: ${answer.status} ${answer.text}`);
    return (JSON.parse(answer.text) as { program: string }).program;
  }

  /** Makes a whole model call. */
  public chat(vm: CallerEndpoint, options: ChatOptions): Promise<CallerAnswer> {
    const body = this.chatBody(options, false);
    return this.send(vm, 'POST', '/v1/chat/completions', { ...options, body });
  }

  /** Makes a streamed model call; throws when the answer is not a stream or breaks off. */
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
      throw new Error(`No stream: ${response.statusCode} ${await response.body.text()}`);
    }
    let rest = '';
    for await (const part of response.body.setEncoding('utf8')) {
      const events = (rest + String(part)).split('\n\n');
      rest = events.pop() ?? '';
      yield* events.flatMap(parseEvent);
    }
  }

  /** Makes a service call. */
  public service(vm: CallerEndpoint, options: ServiceOptions): Promise<CallerAnswer> {
    const path = `/v1/services/${options.route}${options.path ?? '/'}`;
    const { idempotencyKey } = options;
    const headers = {
      ...options.headers,
      ...(idempotencyKey === undefined ? {} : { 'idempotency-key': idempotencyKey }),
    };
    return this.send(vm, options.method ?? 'POST', path, { ...options, headers });
  }

  /** Sends any request. */
  public async send(
    vm: CallerEndpoint,
    method: 'GET' | 'POST' | 'PUT' | 'DELETE',
    path: string,
    options: CallPlace & {
      readonly body?: string;
      readonly headers?: Readonly<Record<string, string>>;
    } = {},
  ): Promise<CallerAnswer> {
    try {
      const response = await undici.request(vm.url + path, {
        method,
        headers: { ...this.headers(options), ...options.headers },
        body: options.body ?? null,
        reset: true,
        signal: options.signal ?? AbortSignal.timeout(options.timeoutMs ?? DEFAULT_TIMEOUT_MS),
      });
      const text = await response.body.text();
      return { status: response.statusCode, headers: flatten(response.headers), text };
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

  private headers(place: CallPlace): Record<string, string> {
    return {
      'content-type': 'application/json',
      ...(this.key === undefined ? {} : { authorization: `Bearer ${this.key}` }),
      ...(place.program === undefined ? {} : { 'limpettack-program': place.program }),
      ...(place.turn === undefined ? {} : { 'limpettack-turn': String(place.turn) }),
      ...(place.deadlineMs === undefined
        ? {}
        : { 'limpettack-deadline-ms': String(place.deadlineMs) }),
    };
  }
}

/** The refusal that an answer tells of. */
export function refusalOf(answer: CallerAnswer): Refusal {
  return JSON.parse(answer.text) as Refusal;
}

/** The text that a whole model answer holds. */
export function contentOf(answer: CallerAnswer): string {
  const body = JSON.parse(answer.text) as { choices: { message: { content: string } }[] };
  return body.choices[0]?.message.content ?? '';
}

/** The generated text of a stream's event, empty when it has none. */
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

function flatten(headers: Readonly<Record<string, string | string[] | undefined>>) {
  return Object.fromEntries(
    Object.entries(headers).map(([name, value]) => [name, [value ?? ''].flat().join(', ')]),
  );
}
