import type * as clockTypes from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';
import * as msgpackr from 'msgpackr';
import * as trueMyth from 'true-myth';
import * as creditSink from './CreditSink.js';
import * as frames from './frames.js';
import type * as handlerRegistry from './HandlerRegistry.js';
import * as itemQueue from './ItemQueue.js';
import * as peerFailures from './PeerFailures.js';
import type * as performHandshake from './performHandshake.js';
import type { PeerFailure, PeerResult, PeerStream } from './Types.js';

/** The initial credit of a stream: items that may be sent before the receiver grants more. */
export const STREAM_WINDOW_ITEMS = 64;

/** A receiver grants credit in steps of this many items. */
const CREDIT_BATCH_ITEMS = 32;

/** Minimum time between inspections of a link with outstanding work (requests or streams). */
const MINIMUM_INSPECTION_INTERVAL_MS = 250;

/** Idle time after which a link with outstanding work is pinged. Most responses arrive earlier. */
const IDLE_BEFORE_PING_MS = 1_000;

/** Idle time after which a link with outstanding work is closed as unresponsive. */
const UNRESPONSIVE_AFTER_MS = 1_500;

/** Timeout for the response to a ping on a link that has been idle. */
const CHECK_TIMEOUT_MS = 500;

const { PEER_FAILURES } = peerFailures;

/** An authenticated connection to one peer that carries requests and streams in both directions. */
export class PeerLink implements lifetime.Disposable {
  private readonly pendingRequests = new Map<number, (result: PeerResult<unknown>) => void>();

  private readonly incomingStreams = new Map<number, itemQueue.ItemQueue<unknown>>();

  private readonly outgoingStreams = new Map<number, creditSink.CreditSink<unknown>>();

  private readonly closeEmitter = new lifetime.Emitter<void>();

  private outbox: frames.Frame[] = [];

  private nextId = 0;

  private lastReceivedAt: clockTypes.Milliseconds;

  private inspectionTimer: NodeJS.Timeout | undefined;

  private lastInspectedAt: clockTypes.Milliseconds = 0;

  private pongWaiters: (() => void)[] = [];

  private closed = false;

  private suspect = false;

  /** Fires once, when the link has closed. */
  public readonly onClose = this.closeEmitter.event;

  public constructor(
    private readonly connection: performHandshake.AuthenticatedConnection,
    private readonly handlers: handlerRegistry.HandlerRegistry,
    private readonly clock: clockTypes.Clock,
  ) {
    this.lastReceivedAt = clock.now();
    connection.socket.on('close', () => this.close());
  }

  /**
   * Starts to read. Register the link first, because buffered messages are handled immediately.
   */
  public start(): void {
    this.connection.inbox.forwardTo((message) => this.receive(message));
  }

  /** Whether the link is closed and can no longer be used. */
  public get isClosed(): boolean {
    return this.closed;
  }

  /** Whether a probe failed and nothing has been received since. */
  public get isSuspect(): boolean {
    return this.suspect;
  }

  /** Records that a probe failed: the link may be stalled, or the peer slow. */
  public markSuspect(): void {
    this.suspect = true;
  }

  /** Time since the last message from the peer, in milliseconds. */
  public get idleMs(): clockTypes.Milliseconds {
    return this.clock.now() - this.lastReceivedAt;
  }

  /** Pings the peer. Closes the link and resolves with false if no pong arrives in time. */
  public async check(): Promise<boolean> {
    const isAlive = await new Promise<boolean>((resolve) => {
      const timer = setTimeout(() => resolve(false), CHECK_TIMEOUT_MS);
      this.pongWaiters.push(() => {
        clearTimeout(timer);
        resolve(!this.closed);
      });
      this.send({ kind: frames.FRAME_KINDS.PING });
    });
    if (!isAlive) this.dispose();
    return isAlive;
  }

  /** Sends a request and waits for its response. */
  public request(
    name: string,
    body: unknown,
    timeoutMs: clockTypes.Milliseconds,
  ): Promise<PeerResult<unknown>> {
    return new Promise((resolve) => {
      const id = this.takeId();
      const timer = setTimeout(() => {
        this.pendingRequests.get(id)?.(
          failed(PEER_FAILURES.TIMED_OUT, `No answer to ${name} in time.`),
        );
      }, timeoutMs);
      this.pendingRequests.set(id, (result) => {
        clearTimeout(timer);
        this.pendingRequests.delete(id);
        if (!this.hasOutstanding) this.stopInspections();
        resolve(result);
      });
      this.send({ kind: frames.FRAME_KINDS.REQUEST, id, name, body });
      this.startInspections();
    });
  }

  /** Opens a stream whose items the peer sends. */
  public openStream(name: string, body: unknown): PeerStream<unknown> {
    const id = this.takeId();
    let taken = 0;
    const queue = new itemQueue.ItemQueue<unknown>({
      onTaken: () => {
        taken += 1;
        if (taken < CREDIT_BATCH_ITEMS) return;
        this.send({ kind: frames.FRAME_KINDS.CREDIT, id, count: taken });
        taken = 0;
      },
      onCancelled: () => {
        this.incomingStreams.delete(id);
        this.send({ kind: frames.FRAME_KINDS.CANCEL, id });
      },
    });
    this.incomingStreams.set(id, queue);
    this.send({ kind: frames.FRAME_KINDS.OPEN, id, name, body });
    this.startInspections();
    return queue;
  }

  /** @inheritdoc */
  public dispose(): void {
    this.close();
    this.connection.socket.terminate();
  }

  private takeId(): number {
    this.nextId += 1;
    return this.nextId;
  }

  private send(frame: frames.Frame): void {
    if (this.closed) return;
    this.outbox.push(frame);
    if (this.outbox.length === 1) setImmediate(() => this.flush());
  }

  /** Writes all frames of this iteration of the event loop as one message. */
  private flush(): void {
    const batch = this.outbox;
    this.outbox = [];
    if (this.closed || batch.length === 0) return;
    this.connection.socket.send(msgpackr.pack(batch));
  }

  private receive(data: Buffer): void {
    this.lastReceivedAt = this.clock.now();
    this.suspect = false;
    const batch = decode(data);
    if (batch === undefined) {
      this.dispose();
      return;
    }
    batch.forEach((frame) => this.dispatch(frame));
  }

  private dispatch(frame: frames.Frame): void {
    switch (frame.kind) {
      case frames.FRAME_KINDS.REQUEST:
        this.answer(frame.id, frame.name, frame.body);
        break;
      case frames.FRAME_KINDS.ANSWER:
        this.pendingRequests.get(frame.id)?.(trueMyth.Result.ok(frame.body));
        break;
      case frames.FRAME_KINDS.FAULT:
        this.pendingRequests.get(frame.id)?.(
          trueMyth.Result.err({
            kind: PEER_FAILURES.REFUSED,
            message: frame.fault.message,
            fault: frame.fault,
          }),
        );
        break;
      case frames.FRAME_KINDS.OPEN:
        this.runStream(frame.id, frame.name, frame.body);
        break;
      case frames.FRAME_KINDS.ITEM:
        this.incomingStreams.get(frame.id)?.push(frame.body);
        break;
      case frames.FRAME_KINDS.END:
        this.incomingStreams.get(frame.id)?.end();
        this.incomingStreams.delete(frame.id);
        break;
      case frames.FRAME_KINDS.CREDIT:
        this.outgoingStreams.get(frame.id)?.addCredit(frame.count);
        break;
      case frames.FRAME_KINDS.CANCEL:
        this.outgoingStreams.get(frame.id)?.close();
        break;
      case frames.FRAME_KINDS.PING:
        this.send({ kind: frames.FRAME_KINDS.PONG });
        break;
      default:
        this.wakePongWaiters();
    }
  }

  private async answer(id: number, name: string, body: unknown): Promise<void> {
    const result = await this.handlers.answer(name, body, this.connection.peer);
    if (result.isOk) this.send({ kind: frames.FRAME_KINDS.ANSWER, id, body: result.value });
    else this.send({ kind: frames.FRAME_KINDS.FAULT, id, fault: result.error });
  }

  private async runStream(id: number, name: string, body: unknown): Promise<void> {
    const sink = new creditSink.CreditSink<unknown>(
      (item) => this.send({ kind: frames.FRAME_KINDS.ITEM, id, body: item }),
      STREAM_WINDOW_ITEMS,
    );
    this.outgoingStreams.set(id, sink);
    await this.handlers.run(name, body, sink, this.connection.peer);
    this.outgoingStreams.delete(id);
    this.send({ kind: frames.FRAME_KINDS.END, id });
  }

  private get hasOutstanding(): boolean {
    return this.pendingRequests.size > 0 || this.incomingStreams.size > 0;
  }

  /** Schedules inspections of the link. The first one runs when a ping may be due. */
  private startInspections(): void {
    if (this.inspectionTimer !== undefined || this.closed) return;
    this.lastInspectedAt = this.clock.now();
    this.scheduleInspection();
  }

  private scheduleInspection(): void {
    const untilPingMs = IDLE_BEFORE_PING_MS - this.idleMs;
    const delayMs = Math.max(MINIMUM_INSPECTION_INTERVAL_MS, untilPingMs);
    this.inspectionTimer = setTimeout(() => this.inspect(), delayMs);
  }

  private stopInspections(): void {
    clearTimeout(this.inspectionTimer);
    this.inspectionTimer = undefined;
  }

  /** Pings an idle link with outstanding work, and closes it when the peer is unresponsive. */
  private inspect(): void {
    this.inspectionTimer = undefined;
    if (!this.hasOutstanding) return;
    const sinceInspectionMs = this.clock.now() - this.lastInspectedAt;
    this.lastInspectedAt = this.clock.now();
    // After a pause of this process itself, the idle time says nothing about the peer.
    if (sinceInspectionMs > UNRESPONSIVE_AFTER_MS) this.lastReceivedAt = this.clock.now();
    if (this.idleMs > UNRESPONSIVE_AFTER_MS) {
      this.dispose();
      return;
    }
    if (this.idleMs >= IDLE_BEFORE_PING_MS) this.send({ kind: frames.FRAME_KINDS.PING });
    this.scheduleInspection();
  }

  private wakePongWaiters(): void {
    const waiters = this.pongWaiters;
    this.pongWaiters = [];
    waiters.forEach((wake) => wake());
  }

  private close(): void {
    if (this.closed) return;
    this.closed = true;
    this.stopInspections();
    const failure = linkLost();
    [...this.pendingRequests.values()].forEach((settle) => settle(trueMyth.Result.err(failure)));
    this.incomingStreams.forEach((queue) => queue.fail(failure));
    this.incomingStreams.clear();
    this.outgoingStreams.forEach((sink) => sink.close());
    this.wakePongWaiters();
    this.closeEmitter.fire();
  }
}

function decode(data: Buffer): frames.Frame[] | undefined {
  try {
    const checked = frames.FRAMES.safeParse(msgpackr.unpack(data));
    return checked.success ? checked.data : undefined;
  } catch {
    return undefined;
  }
}

function linkLost(): PeerFailure {
  return { kind: PEER_FAILURES.LOST, message: 'The link to the peer was lost.' };
}

function failed(kind: PeerFailure['kind'], message: string): PeerResult<unknown> {
  return trueMyth.Result.err({ kind, message });
}
