import type * as clockTypes from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';
import * as msgpackr from 'msgpackr';
import * as trueMyth from 'true-myth';
import * as creditSink from './CreditSink.js';
import * as frames from './frames.js';
import type * as handlerRegistry from './HandlerRegistry.js';
import * as itemQueue from './ItemQueue.js';
import * as peerFailures from './PeerFailures.js';
import type * as handshakes from './handshakes.js';
import type { PeerFailure, PeerResult, PeerStream } from './Types.js';

/** Items that a receiver has room for at the opening of a stream. */
export const STREAM_WINDOW_ITEMS = 64;

/** A receiver reports room for this many items at a time. */
const CREDIT_STEP_ITEMS = 32;

/** How often a silent link with outstanding work is looked at. */
const WATCH_INTERVAL_MS = 250;

/** A link with outstanding work is pinged after so much silence; answers mostly come before. */
const PING_AFTER_MS = 1_000;

/** A link with outstanding work is given up after so much silence. */
const SILENCE_LIMIT_MS = 1_500;

/** The longest wait for the answer to a ping on a link that has been idle. */
const CHECK_TIMEOUT_MS = 500;

const { PEER_FAILURES } = peerFailures;

/** An authenticated connection to one peer: requests and streams both ways. */
export class PeerLink implements lifetime.Disposable {
  private readonly waiting = new Map<number, (result: PeerResult<unknown>) => void>();

  private readonly incoming = new Map<number, itemQueue.ItemQueue<unknown>>();

  private readonly outgoing = new Map<number, creditSink.CreditSink<unknown>>();

  private readonly closeEmitter = new lifetime.Emitter<void>();

  private outbox: frames.Frame[] = [];

  private nextId = 0;

  private lastHeard: clockTypes.Milliseconds;

  private watcher: NodeJS.Timeout | undefined;

  private lastInspected: clockTypes.Milliseconds = 0;

  private pongWaiters: (() => void)[] = [];

  private closed = false;

  private doubted = false;

  /** Fires once when the link has closed. */
  public readonly onClose = this.closeEmitter.event;

  public constructor(
    private readonly connection: handshakes.ProvenConnection,
    private readonly handlers: handlerRegistry.HandlerRegistry,
    private readonly clock: clockTypes.Clock,
  ) {
    this.lastHeard = clock.now();
    connection.socket.on('close', () => this.finish());
  }

  /** Starts to read. Messages that wait are read at once, so the link must be registered before. */
  public start(): void {
    this.connection.inbox.handOver((message) => this.receive(message));
  }

  /** Whether the link can no longer be used. */
  public get isClosed(): boolean {
    return this.closed;
  }

  /** Whether a probe was not answered, and nothing was heard since. */
  public get isDoubted(): boolean {
    return this.doubted;
  }

  /** Notes that a probe was not answered: the link may be silent, or the peer slow. */
  public noteDoubt(): void {
    this.doubted = true;
  }

  /** How long nothing has been heard from the peer, in milliseconds. */
  public get silenceMs(): clockTypes.Milliseconds {
    return this.clock.now() - this.lastHeard;
  }

  /** Asks the peer whether it still hears this link, and closes the link when it does not. */
  public async check(): Promise<boolean> {
    const answered = await new Promise<boolean>((resolve) => {
      const timer = setTimeout(() => resolve(false), CHECK_TIMEOUT_MS);
      this.pongWaiters.push(() => {
        clearTimeout(timer);
        resolve(!this.closed);
      });
      this.send({ kind: frames.FRAME_KINDS.PING });
    });
    if (!answered) this.dispose();
    return answered;
  }

  /** Sends a request and waits for its answer. */
  public request(
    name: string,
    body: unknown,
    timeoutMs: clockTypes.Milliseconds,
  ): Promise<PeerResult<unknown>> {
    return new Promise((resolve) => {
      const id = this.takeId();
      const timer = setTimeout(() => {
        this.waiting.get(id)?.(failed(PEER_FAILURES.TIMED_OUT, `No answer to ${name} in time.`));
      }, timeoutMs);
      this.waiting.set(id, (result) => {
        clearTimeout(timer);
        this.waiting.delete(id);
        if (!this.hasOutstanding) this.stopWatching();
        resolve(result);
      });
      this.send({ kind: frames.FRAME_KINDS.REQUEST, id, name, body });
      this.watch();
    });
  }

  /** Opens a stream from the peer. */
  public openStream(name: string, body: unknown): PeerStream<unknown> {
    const id = this.takeId();
    let taken = 0;
    const queue = new itemQueue.ItemQueue<unknown>({
      onTaken: () => {
        taken += 1;
        if (taken < CREDIT_STEP_ITEMS) return;
        this.send({ kind: frames.FRAME_KINDS.CREDIT, id, count: taken });
        taken = 0;
      },
      onCancelled: () => {
        this.incoming.delete(id);
        this.send({ kind: frames.FRAME_KINDS.CANCEL, id });
      },
    });
    this.incoming.set(id, queue);
    this.send({ kind: frames.FRAME_KINDS.OPEN, id, name, body });
    this.watch();
    return queue;
  }

  /** @inheritdoc */
  public dispose(): void {
    this.finish();
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

  /** Writes all frames of this turn of the event loop as one message. */
  private flush(): void {
    const batch = this.outbox;
    this.outbox = [];
    if (this.closed || batch.length === 0) return;
    this.connection.socket.send(msgpackr.pack(batch));
  }

  private receive(data: Buffer): void {
    this.lastHeard = this.clock.now();
    this.doubted = false;
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
        this.waiting.get(frame.id)?.(trueMyth.Result.ok(frame.body));
        break;
      case frames.FRAME_KINDS.FAULT:
        this.waiting.get(frame.id)?.(
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
        this.incoming.get(frame.id)?.push(frame.body);
        break;
      case frames.FRAME_KINDS.END:
        this.incoming.get(frame.id)?.end();
        this.incoming.delete(frame.id);
        break;
      case frames.FRAME_KINDS.CREDIT:
        this.outgoing.get(frame.id)?.addCredit(frame.count);
        break;
      case frames.FRAME_KINDS.CANCEL:
        this.outgoing.get(frame.id)?.close();
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
    this.outgoing.set(id, sink);
    await this.handlers.run(name, body, sink, this.connection.peer);
    this.outgoing.delete(id);
    this.send({ kind: frames.FRAME_KINDS.END, id });
  }

  private get hasOutstanding(): boolean {
    return this.waiting.size > 0 || this.incoming.size > 0;
  }

  /** Looks at the link when its silence may have become too long, and not before. */
  private watch(): void {
    if (this.watcher !== undefined || this.closed) return;
    this.lastInspected = this.clock.now();
    this.watchOn();
  }

  private watchOn(): void {
    const untilPing = PING_AFTER_MS - this.silenceMs;
    const delayMs = Math.max(WATCH_INTERVAL_MS, untilPing);
    this.watcher = setTimeout(() => this.inspect(), delayMs);
  }

  private stopWatching(): void {
    clearTimeout(this.watcher);
    this.watcher = undefined;
  }

  /** Pings while work is outstanding and gives the link up when the peer stays silent. */
  private inspect(): void {
    this.watcher = undefined;
    if (!this.hasOutstanding) return;
    const sinceInspected = this.clock.now() - this.lastInspected;
    this.lastInspected = this.clock.now();
    // This process was paused itself, so the silence says nothing of the peer.
    if (sinceInspected > SILENCE_LIMIT_MS) this.lastHeard = this.clock.now();
    if (this.silenceMs > SILENCE_LIMIT_MS) {
      this.dispose();
      return;
    }
    if (this.silenceMs >= PING_AFTER_MS) this.send({ kind: frames.FRAME_KINDS.PING });
    this.watchOn();
  }

  private wakePongWaiters(): void {
    const waiters = this.pongWaiters;
    this.pongWaiters = [];
    waiters.forEach((wake) => wake());
  }

  private finish(): void {
    if (this.closed) return;
    this.closed = true;
    this.stopWatching();
    const failure = lost();
    [...this.waiting.values()].forEach((settle) => settle(trueMyth.Result.err(failure)));
    this.incoming.forEach((queue) => queue.fail(failure));
    this.incoming.clear();
    this.outgoing.forEach((sink) => sink.close());
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

function lost(): PeerFailure {
  return { kind: PEER_FAILURES.LOST, message: 'The link to the peer was lost.' };
}

function failed(kind: PeerFailure['kind'], message: string): PeerResult<unknown> {
  return trueMyth.Result.err({ kind, message });
}
