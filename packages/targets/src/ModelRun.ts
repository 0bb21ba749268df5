import type * as clock from '@limpettack/clock';
import type * as configuration from '@limpettack/configuration';
import type { ModelCall, ModelChunk, TargetFailureKind, TargetResult } from './Types.js';
import * as chunks from './chunks.js';
import * as eventStreams from './EventStream.js';
import * as failures from './failures.js';
import * as headers from './headers.js';
import type * as connections from './TargetConnection.js';
import * as targetFailures from './TargetFailures.js';

const { BROKEN, CANCELLED, DIED, FENCED, INVALID, NOT_SENT, TIMED_OUT } =
  targetFailures.TARGET_FAILURES;

const { ANSWERED, EVENT } = eventStreams.STREAM_STEPS;

const OK_STATUS = 200;
const NOT_FOUND_STATUS = 404;
const CONFLICT_STATUS = 409;

/** Time in which a target that is well answers on a fresh connection. */
const PROBE_MS = 2_000;

/** Fresh connections in a row that may bring no chunk. */
const MAXIMUM_IDLE_RESUMES = 2;

/** What a model call needs to be run. */
export interface ModelRunOptions {
  readonly url: string;
  readonly pool: configuration.Pool;
  readonly credentials: ReadonlyMap<string, string>;
  readonly clock: clock.Clock;
}

type Failure = TargetResult<ModelChunk>;

/**
 * One model call. A connection that breaks or stalls is replaced by a fresh one, which also shows
 * whether the target is alive; the answer then goes on from the chunk it had reached.
 */
export class ModelRun {
  /** Chunks of the whole answer that have come, those before a resume included. */
  private received: number;

  private idleResumes = 0;

  /** Whether the connection broke in the middle of the answer; it may also have just ended. */
  private cutOff = false;

  private sent = false;

  private completed = false;

  private readonly endsAt: clock.Milliseconds;

  public constructor(
    private readonly call: ModelCall,
    private readonly options: ModelRunOptions,
  ) {
    this.received = call.resumeAfter ?? 0;
    this.endsAt = options.clock.now() + options.pool.timeLimits.totalMs;
  }

  /** Whether the engine may still run the call. */
  public get mayBeRunning(): boolean {
    return this.sent && !this.completed;
  }

  /** Runs the call; ends after the last chunk or with one failure. */
  public async *run(signal: AbortSignal): AsyncGenerator<TargetResult<ModelChunk>> {
    let isResume = this.call.resumeAfter !== undefined;
    this.sent = isResume;
    for (;;) {
      const stream = this.createStream(signal);
      try {
        const failure = await this.open(stream, isResume);
        if (failure) {
          yield failure;
          return;
        }
        const lost = yield* this.relay(stream);
        if (this.completed) return;
        const end = this.judgeLoss(lost);
        if (end) {
          yield end;
          return;
        }
      } finally {
        stream.close();
      }
      isResume = true;
    }
  }

  private createStream(signal: AbortSignal): eventStreams.EventStream {
    const { connectMs } = this.options.pool.timeLimits;
    return new eventStreams.EventStream(this.options.url, connectMs, this.options.clock, signal);
  }

  /** Sends the request; nothing when events follow or a fresh connection is to be tried. */
  private async open(
    stream: eventStreams.EventStream,
    isResume: boolean,
  ): Promise<Failure | undefined> {
    const { firstTokenMs } = this.options.pool.timeLimits;
    const request = isResume ? this.resumeRequest() : this.startRequest();
    const limitMs = isResume ? PROBE_MS : firstTokenMs;
    const head = await stream.open(request, this.limited(limitMs));
    // Once closed the connection writes nothing more, so what it says below stays true.
    if (head.kind !== ANSWERED) stream.close();
    this.sent ||= stream.mayHaveSent;
    if (head.kind === ANSWERED) return this.judgeStatus(head.status, stream, isResume);
    if (head.kind === eventStreams.STREAM_STEPS.CANCELLED) return this.cancelled();
    if (!this.sent) return failures.failed(NOT_SENT, 'The target cannot be reached.');
    if (isResume) return failures.failed(DIED, 'The target does not answer a fresh connection.');
    return undefined;
  }

  private async judgeStatus(
    status: number,
    stream: eventStreams.EventStream,
    isResume: boolean,
  ): Promise<Failure | undefined> {
    if (status === OK_STATUS) return undefined;
    if (isResume) return this.judgeLostCall(status);
    this.completed = true;
    const text = await stream.errorText(this.limited(PROBE_MS));
    const isFenced = status === CONFLICT_STATUS && text.includes('"fenced"');
    if (isFenced) return failures.failed(FENCED, 'The target refused the fencing number.');
    return failures.refused(status);
  }

  /** The target answers but does not go on with the call. */
  private judgeLostCall(status: number): Failure {
    const forgotten = status === NOT_FOUND_STATUS && this.cutOff;
    this.completed = status === NOT_FOUND_STATUS;
    // A target that ran the call a moment ago and does not know it was started anew since.
    if (forgotten) return failures.failed(DIED, 'The target has restarted and lost the call.');
    return failures.failed(BROKEN, `The target answers but cannot resume the call (${status}).`);
  }

  /** Passes the chunks on and returns why no more of them come on this connection. */
  private async *relay(
    stream: eventStreams.EventStream,
  ): AsyncGenerator<TargetResult<ModelChunk>, TargetFailureKind> {
    for (;;) {
      const step = await stream.next(this.chunkLimit());
      if (step.kind === eventStreams.STREAM_STEPS.CANCELLED) return CANCELLED;
      this.cutOff = step.kind === eventStreams.STREAM_STEPS.BROKEN;
      if (step.kind !== EVENT) return BROKEN;
      if (step.event.data === chunks.END_OF_STREAM) {
        this.completed = true;
        return BROKEN;
      }
      const chunk = chunks.readChunk(step.event, this.received);
      if (chunk.isErr) return INVALID;
      // After a resume, chunks that came before may come again.
      if (chunk.value.index < this.received) continue;
      if (chunk.value.index > this.received) return BROKEN;
      this.received += 1;
      this.idleResumes = 0;
      yield chunk;
    }
  }

  /** Decides whether a fresh connection is tried; a failure when not. */
  private judgeLoss(lost: TargetFailureKind): Failure | undefined {
    if (lost === CANCELLED) return this.cancelled();
    if (lost === INVALID) return failures.invalid('A chunk of the answer is malformed.');
    if (this.options.clock.now() >= this.endsAt) return failures.failed(TIMED_OUT, 'Time is up.');
    this.idleResumes += 1;
    if (this.idleResumes <= MAXIMUM_IDLE_RESUMES) return undefined;
    return failures.failed(TIMED_OUT, 'The target sends no further chunk.');
  }

  private cancelled(): Failure {
    return this.sent
      ? failures.failed(CANCELLED, 'The caller gave up.')
      : failures.failed(NOT_SENT, 'The caller gave up before anything was sent.');
  }

  private chunkLimit(): clock.Milliseconds {
    const { betweenTokensMs, firstTokenMs } = this.options.pool.timeLimits;
    return this.limited(this.received === 0 ? firstTokenMs : betweenTokensMs);
  }

  private limited(spanMs: clock.Milliseconds): clock.Milliseconds {
    return Math.min(spanMs, this.endsAt - this.options.clock.now());
  }

  private startRequest(): connections.TargetRequest {
    const { call } = this;
    const { model } = this.options.pool;
    const body = {
      ...call.parameters,
      ...(model === undefined ? {} : { model }),
      messages: call.messages,
      max_tokens: call.maximumTokens,
      stream: true,
      stream_options: { include_usage: true },
    };
    return {
      method: 'POST',
      path: '/v1/chat/completions',
      headers: { ...headers.modelHeaders(call), ...this.credential() },
      body: JSON.stringify(body),
    };
  }

  private resumeRequest(): connections.TargetRequest {
    const callId = encodeURIComponent(this.call.callId);
    return {
      method: 'GET',
      path: `/v1/calls/${callId}/stream?after=${this.received}`,
      headers: { accept: 'text/event-stream', ...this.credential() },
    };
  }

  private credential(): Record<string, string> {
    return headers.credentialHeaders(this.options.pool, this.options.credentials);
  }
}
