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

/** Time in which a target that is well answers on a fresh connection. */
const PROBE_MS = 2_000;

/** Fresh connections without an answer after which a target is dead, and the time between them. */
const MAXIMUM_SILENCES = 2;
const PROBE_INTERVAL_MS = 50;

/** A stream without a chunk for so long is quiet. */
const QUIET_MS = 300;

/** Fresh connections in a row that may be answered and bring no chunk. */
const MAXIMUM_IDLE_RESUMES = 1;

/** What a model call needs to be run. */
export interface ModelRunOptions {
  readonly url: string;
  readonly pool: configuration.Pool;
  readonly credentials: ReadonlyMap<string, string>;
  readonly clock: clock.Clock;
}

type Failure = TargetResult<ModelChunk>;

/** How the opening of a connection went; neither open nor failed says to try a fresh one. */
interface Opening {
  readonly isOpen: boolean;
  readonly failure?: Failure;
}

/**
 * One model call. A connection that breaks or stalls is replaced by a fresh one, which also shows
 * whether the target is alive; the answer then goes on from the chunk it had reached.
 */
export class ModelRun {
  /** Chunks of the whole answer that have come, those before a resume included. */
  private received: number;

  private idleResumes = 0;

  private silences = 0;

  /** Whether the connection broke in the middle of the answer; it may also have just ended. */
  private cutOff = false;

  /** Whether the target itself ended the answer, without its last event. */
  private endedEarly = false;

  private sent = false;

  private completed = false;

  private readonly endsAt: clock.Milliseconds;

  /** The connection that may be abandoned; none while a fresh one is being tried. */
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

  /** Notes that the target did not answer when it was asked: a quiet connection is not waited for. */
  public noteUnreachable(): void {
    if (this.options.clock.now() - this.lastChunkAt < QUIET_MS) return;
    this.stream?.abandon();
  }

  /** Runs the call; ends after the last chunk or with one failure. */
  public async *run(signal: AbortSignal): AsyncGenerator<TargetResult<ModelChunk>> {
    let isResume = this.call.resumeAfter !== undefined;
    this.sent = isResume;
    for (;;) {
      const stream = this.createStream(signal);
      try {
        this.stream = isResume ? undefined : stream;
        const opening = await this.open(stream, isResume);
        this.stream = stream;
        const lost = opening.isOpen ? yield* this.relay(stream) : undefined;
        if (this.completed && !opening.failure) return;
        const failure = opening.failure ?? this.judgeLoss(lost);
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

  /** Sends the request and waits for the head of the answer. */
  private async open(stream: eventStreams.EventStream, isResume: boolean): Promise<Opening> {
    const { firstTokenMs } = this.options.pool.timeLimits;
    const request = isResume ? this.resumeRequest() : this.startRequest();
    const limitMs = isResume ? PROBE_MS : this.limited(firstTokenMs);
    const head = await stream.open(request, limitMs);
    // Once closed the connection writes nothing more, so what it says below stays true.
    if (head.kind !== ANSWERED) stream.close();
    this.sent ||= stream.mayHaveSent;
    if (head.kind === ANSWERED) return this.judgeStatus(head.status, stream, isResume);
    if (head.kind === CANCELLED_STEP) return { isOpen: false, failure: this.cancelled() };
    if (isResume) return this.judgeSilence();
    this.cutOff = head.kind === BROKEN_STEP;
    const notSent = failures.failed<ModelChunk>(NOT_SENT, 'The target cannot be reached.');
    return this.sent ? { isOpen: false } : { isOpen: false, failure: notSent };
  }

  /** A fresh connection brought no answer: the target is dead when the next does neither. */
  private async judgeSilence(): Promise<Opening> {
    this.silences += 1;
    if (this.silences >= MAXIMUM_SILENCES) {
      const message = 'The target does not answer on fresh connections.';
      return { isOpen: false, failure: failures.failed(DIED, message) };
    }
    await this.options.clock.sleep(PROBE_INTERVAL_MS);
    return { isOpen: false };
  }

  private async judgeStatus(
    status: number,
    stream: eventStreams.EventStream,
    isResume: boolean,
  ): Promise<Opening> {
    this.silences = 0;
    if (status === OK_STATUS) return { isOpen: true };
    if (isResume) return { isOpen: false, failure: this.judgeLostCall(status) };
    this.completed = true;
    const text = await stream.errorText(this.limited(PROBE_MS));
    const isFenced = status === CONFLICT_STATUS && text.includes('"fenced"');
    const failure = isFenced
      ? failures.failed<ModelChunk>(FENCED, 'The target refused the fencing number.')
      : failures.refused<ModelChunk>(status);
    return { isOpen: false, failure };
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
      if (step.kind === CANCELLED_STEP) return CANCELLED;
      this.cutOff = step.kind === BROKEN_STEP;
      this.endedEarly = step.kind === ENDED_STEP;
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
      this.lastChunkAt = this.options.clock.now();
      yield chunk;
    }
  }

  /** Decides whether a fresh connection is tried; a failure when not. */
  private judgeLoss(lost: TargetFailureKind | undefined): Failure | undefined {
    if (lost === CANCELLED) return this.cancelled();
    if (lost === INVALID) return failures.invalid('A chunk of the answer is malformed.');
    if (this.options.clock.now() >= this.endsAt) return failures.failed(TIMED_OUT, 'Time is up.');
    if (this.silences > 0) return undefined;
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
    return this.limited(isFirst ? firstTokenMs : betweenTokensMs);
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
