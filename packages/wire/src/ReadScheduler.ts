import type * as http from 'node:http';
import type * as net from 'node:net';
import * as process from 'node:process';
import type * as clockTypes from '@limpettack/clock';
import type * as logging from '@limpettack/logging';
import * as fairQueue from './FairQueue.js';
import * as pacedReader from './PacedReader.js';

/** For how long one connection may occupy the process before others have their turn. */
const CONNECTION_TURN_MS = 1;

/** For how long all connections may occupy the process before it handles other events. */
const LOOP_TURN_MS = 5;

/** The period over which the used time is compared, and from which share of it on it is logged. */
const LOGGED_PERIOD_MS = 1_000;
const LOGGED_SHARE = 0.5;

/** Dependencies of the scheduler. */
export interface ReadSchedulerOptions {
  readonly clock: Pick<clockTypes.Clock, 'now'>;
  readonly logger: logging.Logger;
}

/** What a paced connection belongs to. */
export interface PacedConnection {
  /** For the log, such as the name of a port or of a target. */
  readonly label: string;
  /** Called with the size of each piece before it is parsed. It may destroy the connection. */
  readonly onPiece?: (bytes: number) => void;
}

/**
 * Divides the time of the process among the connections of all ports and targets. What a few bytes
 * cost depends on their kind: chunks, header lines and events of single bytes need thousands of steps
 * for what arrives at once. So the time is measured, not the bytes. A connection that needs much of it
 * is read as fast as the others leave time for, and the process handles other events in between.
 */
export class ReadScheduler {
  private readonly readers = new WeakMap<net.Socket, pacedReader.PacedReader>();

  private readonly queue = new fairQueue.FairQueue<pacedReader.PacedReader>();

  /** The time that connections have used in this turn of the event loop. */
  private usedMs = 0;

  private isTurnPending = false;

  /** Whether waiting connections are being served. */
  private isInLoopTurn = false;

  /** The reader whose piece is being handled. */
  private current: pacedReader.PacedReader | undefined;

  /** When the period began over which the used time is compared, and the time used since by label. */
  private periodStartedAt: clockTypes.Milliseconds;

  private readonly usedByLabel = new Map<string, clockTypes.Milliseconds>();

  public constructor(private readonly options: ReadSchedulerOptions) {
    this.periodStartedAt = options.clock.now();
  }

  /** Paces all connections of a server. Call it before the server listens. */
  public paceServer(server: http.Server, label: string): void {
    server.on('connection', (socket: net.Socket) => {
      this.pace(socket, { label });
      // With a listener, Node lets the data pass through the socket rather than parse it unseen.
      socket.on('data', ignoreData);
      socket.off('data', ignoreData);
    });
  }

  /** Paces a connection until it closes. */
  public pace(socket: net.Socket, { label, onPiece }: PacedConnection): void {
    const reader = new pacedReader.PacedReader(socket, {
      label,
      onPiece,
      requestTurn: () => this.request(reader),
    });
    this.readers.set(socket, reader);
    socket.once('close', () => this.queue.remove(reader));
  }

  /** Stops handing over what arrives on a connection, until `release`. */
  public hold(socket: net.Socket): void {
    this.readers.get(socket)?.hold();
  }

  /** Continues to hand over what arrives on a connection. */
  public release(socket: net.Socket): void {
    this.readers.get(socket)?.release();
  }

  /** Drops what arrives on a connection from now on, up to a bound after which nothing more is read. */
  public discard(socket: net.Socket): void {
    this.readers.get(socket)?.discard();
  }

  private request(reader: pacedReader.PacedReader): void {
    if (reader === this.current || this.queue.has(reader)) return;
    if (this.current === undefined && this.usedMs < LOOP_TURN_MS) {
      this.serve(reader);
      return;
    }
    this.queue.addSparse(reader);
    this.requestLoopTurn();
  }

  private serve(reader: pacedReader.PacedReader): void {
    const startedAt = this.options.clock.now();
    this.current = reader;
    try {
      reader.handOver();
    } finally {
      // Consumers that read by themselves do so in a callback that is scheduled before this one.
      process.nextTick(() => this.settle(reader, startedAt));
    }
  }

  /** Accounts for a piece, and continues with the same connection or the next one. */
  private settle(reader: pacedReader.PacedReader, startedAt: clockTypes.Milliseconds): void {
    const now = this.options.clock.now();
    const usedMs = now - startedAt;
    this.current = undefined;
    this.usedMs += usedMs;
    this.note(reader.label, usedMs, now);
    reader.usedMs += usedMs;
    const mayContinue = reader.usedMs < CONNECTION_TURN_MS && this.usedMs < LOOP_TURN_MS;
    if (reader.isReady && mayContinue) {
      this.serve(reader);
      return;
    }
    reader.usedMs = 0;
    if (reader.isReady) this.queue.addBacklogged(reader);
    if (this.queue.size > 0 || this.usedMs >= CONNECTION_TURN_MS) this.requestLoopTurn();
    if (this.isInLoopTurn) this.serveNext();
  }

  private requestLoopTurn(): void {
    if (this.isTurnPending) return;
    this.isTurnPending = true;
    setImmediate(() => {
      this.isTurnPending = false;
      this.usedMs = 0;
      this.isInLoopTurn = true;
      this.serveNext();
    });
  }

  private serveNext(): void {
    const reader = this.usedMs < LOOP_TURN_MS ? this.queue.take() : undefined;
    if (reader !== undefined) {
      this.serve(reader);
      return;
    }
    this.isInLoopTurn = false;
    // What arrives before the next turn of the loop may be handled at once.
    this.usedMs = 0;
    if (this.queue.size > 0) this.requestLoopTurn();
  }

  /** Adds up the used time, and logs who keeps the process busy. */
  private note(label: string, usedMs: clockTypes.Milliseconds, now: clockTypes.Milliseconds): void {
    this.usedByLabel.set(label, (this.usedByLabel.get(label) ?? 0) + usedMs);
    const spanMs = now - this.periodStartedAt;
    if (spanMs < LOGGED_PERIOD_MS) return;
    const used = [...this.usedByLabel].sort(([, a], [, b]) => b - a);
    const sumMs = used.reduce((sum, [, labelMs]) => sum + labelMs, 0);
    if (sumMs >= spanMs * LOGGED_SHARE) {
      const [[mostUsed, mostMs] = ['', 0]] = used;
      this.options.logger.warn('What arrives on connections keeps the process busy.', {
        kind: mostUsed,
        count: this.queue.size,
        spanMs: Math.round(spanMs),
        reason: `${Math.round(mostMs)} ms of ${Math.round(sumMs)} ms for ${mostUsed}`,
      });
    }
    this.periodStartedAt = now;
    this.usedByLabel.clear();
  }
}

function ignoreData(): void {
  // Only its presence matters.
}
