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

const {
  ANSWERED,
  BROKEN: BROKEN_STEP,
  CANCELLED: CANCELLED_STEP,
  ENDED: ENDED_STEP,
  EVENT,
} = eventStreams.STREAM_STEPS;

const OK_STATUS = 200;
const NOT_FOUND_STATUS = 404;
const CONFLICT_STATUS = 409;

/** Time limit for the response of a healthy target on a new connection. */
const PROBE_TIMEOUT_MS = 2_000;

/** Number of unanswered new connections after which a target is treated as crashed. */
const MAXIMUM_UNANSWERED_CONNECTIONS = 2;

/** Pause after an unanswered new connection. */
const PROBE_INTERVAL_MS = 50;

/** A stream is idle after this time without a chunk. */
const IDLE_MS = 300;

/** Maximum number of consecutive resumes to which the target responds without a new chunk. */
const MAXIMUM_IDLE_RESUMES = 1;

/** Dependencies and settings of a model call. */
export interface ModelRunOptions {
  readonly url: string;
  readonly pool: configuration.Pool;
  readonly credentials: ReadonlyMap<string, string>;
  readonly clock: clock.Clock;
}

type Failure = TargetResult<ModelChunk>;

/**
 * Result of opening a connection. If the connection is not open and `failure` is undefined, `run`
 * retries with a new connection, within the limits of the call.
 */
interface Opening {
  readonly isOpen: boolean;
  readonly failure?: Failure;
}

/**
 * Runs one model call. A connection that breaks or stalls is replaced by a new one, which also shows
 * whether the target is alive. The response then resumes after the last received chunk.
 */
export class ModelRun {
  /** Number of received chunks of the response, including those before a resume. */
  private received: number;

  private idleResumes = 0;

  private unansweredConnections = 0;

  /** Whether the last connection failed. False if it stalled or the target ended the response. */
  private connectionBroke = false;

  /** Whether the target ended the response without the final event. */
  private endedEarly = false;

  private sent = false;

  private completed = false;

  private readonly endsAt: clock.Milliseconds;

  /** The stream that `noteUnreachable` may abandon; undefined while a replacement is being opened. */
  private stream: eventStreams.EventStream | undefined;

  private lastChunkAt: clock.Milliseconds;

  public constructor(
    private readonly call: ModelCall,
    private readonly options: ModelRunOptions,
  ) {
    this.received = call.resumeAfter ?? 0;
    this.lastChunkAt = options.clock.now();
    this.endsAt = options.clock.now() + options.pool.timeLimits.totalMs;
  }

  /** Whether the engine may still run the call. */
  public get mayBeRunning(): boolean {
    return this.sent && !this.completed;
  }

  /** Notes that a status request got no response. Abandons the stream if it is idle. */
  public noteUnreachable(): void {
    if (this.options.clock.now() - this.lastChunkAt < IDLE_MS) return;
    this.stream?.abandon();
  }

  /** Runs the call. The iteration ends after the last chunk or with one failure. */
  public async *run(signal: AbortSignal): AsyncGenerator<TargetResult<ModelChunk>> {
    let isResume = this.call.resumeAfter !== undefined;
    this.sent = isResume;
    for (;;) {
      const stream = this.createStream(signal);
      try {
        this.stream = isResume ? undefined : stream;
        const opening = await this.open(stream, isResume);
        this.stream = stream;
        const lossKind = opening.isOpen ? yield* this.forwardChunks(stream) : undefined;
        if (this.completed && !opening.failure) return;
        const failure = opening.failure ?? this.failureUnlessRetryable(lossKind);
        if (failure) {
          yield failure;
          return;
        }
      } finally {
        this.stream = undefined;
        stream.close();
      }
      isResume = true;
    }
  }

  private createStream(signal: AbortSignal): eventStreams.EventStream {
    const { connectMs } = this.options.pool.timeLimits;
    return new eventStreams.EventStream(this.options.url, connectMs, this.options.clock, signal);
  }

  /** Sends the request and waits for the response head. */
  private async open(stream: eventStreams.EventStream, isResume: boolean): Promise<Opening> {
    const { firstTokenMs } = this.options.pool.timeLimits;
    const request = isResume ? this.resumeRequest() : this.startRequest();
    const limitMs = isResume ? PROBE_TIMEOUT_MS : this.limitToDeadline(firstTokenMs);
    const head = await stream.open(request, limitMs);
    // A closed connection writes nothing more, so `mayHaveSent` is final.
    if (head.kind !== ANSWERED) stream.close();
    this.sent ||= stream.mayHaveSent;
    if (head.kind === ANSWERED) return this.handleStatus(head.status, stream, isResume);
    if (head.kind === CANCELLED_STEP) return { isOpen: false, failure: this.cancelled() };
    if (isResume) return this.handleNoResponse();
    this.connectionBroke = head.kind === BROKEN_STEP;
    const notSent = failures.failed<ModelChunk>(NOT_SENT, 'The target cannot be reached.');
    return this.sent ? { isOpen: false } : { isOpen: false, failure: notSent };
  }

  /** Handles an unanswered new connection. After the maximum, the target is treated as crashed. */
  private async handleNoResponse(): Promise<Opening> {
    this.unansweredConnections += 1;
    if (this.unansweredConnections >= MAXIMUM_UNANSWERED_CONNECTIONS) {
      const message = 'The target does not answer on fresh connections.';
      return { isOpen: false, failure: failures.failed(DIED, message) };
    }
    await this.options.clock.sleep(PROBE_INTERVAL_MS);
    return { isOpen: false };
  }

  private async handleStatus(
    status: number,
    stream: eventStreams.EventStream,
    isResume: boolean,
  ): Promise<Opening> {
    this.unansweredConnections = 0;
    if (status === OK_STATUS) return { isOpen: true };
    if (isResume) return { isOpen: false, failure: this.failedResume(status) };
    this.completed = true;
    const text = await stream.errorText(this.limitToDeadline(PROBE_TIMEOUT_MS));
    const isFenced = status === CONFLICT_STATUS && text.includes('"fenced"');
    const failure = isFenced
      ? failures.failed<ModelChunk>(FENCED, 'The target refused the fencing number.')
      : failures.refused<ModelChunk>(status);
    return { isOpen: false, failure };
  }

  /** Returns the failure for a target that responds but does not resume the call. */
  private failedResume(status: number): Failure {
    const hasRestarted = status === NOT_FOUND_STATUS && this.connectionBroke;
    this.completed = status === NOT_FOUND_STATUS;
    // A target that was running the call and no longer knows it must have restarted.
    if (hasRestarted) return failures.failed(DIED, 'The target has restarted and lost the call.');
    return failures.failed(BROKEN, `The target answers but cannot resume the call (${status}).`);
  }

  /** Yields the chunks of a connection. Returns why the connection delivers no more chunks. */
  private async *forwardChunks(
    stream: eventStreams.EventStream,
  ): AsyncGenerator<TargetResult<ModelChunk>, TargetFailureKind> {
    for (;;) {
      const step = await stream.next(this.chunkLimit());
      if (step.kind === CANCELLED_STEP) return CANCELLED;
      this.connectionBroke = step.kind === BROKEN_STEP;
      this.endedEarly = step.kind === ENDED_STEP;
      if (step.kind !== EVENT) return BROKEN;
      if (step.event.data === chunks.END_OF_STREAM) {
        this.completed = true;
        return BROKEN;
      }
      const chunk = chunks.readChunk(step.event, this.received);
      if (chunk.isErr) return INVALID;
      // After a resume, chunks that were already received may be repeated.
      if (chunk.value.index < this.received) continue;
      if (chunk.value.index > this.received) return BROKEN;
      this.received += 1;
      this.idleResumes = 0;
      this.lastChunkAt = this.options.clock.now();
      yield chunk;
    }
  }

  /** Returns the failure of the call, or undefined if a new connection is to be tried. */
  private failureUnlessRetryable(lossKind: TargetFailureKind | undefined): Failure | undefined {
    if (lossKind === CANCELLED) return this.cancelled();
    if (lossKind === INVALID) return failures.invalid('A chunk of the answer is malformed.');
    if (this.options.clock.now() >= this.endsAt) return failures.failed(TIMED_OUT, 'Time is up.');
    if (this.unansweredConnections > 0) return undefined;
    this.idleResumes += 1;
    if (this.idleResumes <= MAXIMUM_IDLE_RESUMES) return undefined;
    if (this.endedEarly) return failures.failed(BROKEN, 'The target has ended the call early.');
    return failures.failed(TIMED_OUT, 'The target sends no further chunk.');
  }

  private cancelled(): Failure {
    return this.sent
      ? failures.failed(CANCELLED, 'The caller gave up.')
      : failures.failed(NOT_SENT, 'The caller gave up before anything was sent.');
  }

  private chunkLimit(): clock.Milliseconds {
    const { betweenTokensMs, firstTokenMs } = this.options.pool.timeLimits;
    const isFirst = this.received === 0 && this.idleResumes === 0;
    return this.limitToDeadline(isFirst ? firstTokenMs : betweenTokensMs);
  }

  private limitToDeadline(limitMs: clock.Milliseconds): clock.Milliseconds {
    return Math.min(limitMs, this.endsAt - this.options.clock.now());
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
