import type * as net from 'node:net';

/** A connection is handed over in pieces of this size at most, in bytes. */
const PIECE_BYTES = 4 * 1024;

/**
 * What is dropped of a connection at most, in bytes. It takes no turns, so that connections with endless
 * input would keep the process from everything else.
 */
const MAXIMUM_DISCARDED_BYTES = 256 * 1024;

/** Dependencies and settings of a paced reader. */
export interface PacedReaderOptions {
  /** What the connection belongs to, for the log. */
  readonly label: string;
  /** Called with the size of a piece before it is handed over. It may destroy the connection. */
  readonly onPiece?: ((bytes: number) => void) | undefined;
  /** Asks for a turn, in which `handOver` is called. */
  readonly requestTurn: (reader: PacedReader) => void;
}

/**
 * Hands what arrives on a connection over to its consumer in pieces, each in a turn of its own. Node
 * hands over up to 64 KB at once, and a parser may need a long time for them. While something waits for
 * a turn, nothing more is read from the connection.
 */
export class PacedReader {
  /** What has arrived and has not been handed over. */
  private pending: Buffer | undefined;

  /** Whether the connection has ended after what is pending. */
  private hasEnded = false;

  /** Whether the consumer takes more. */
  private isWanted = true;

  private isOnHold = false;

  private isDiscarding = false;

  private discardedBytes = 0;

  /** The time that this connection has used of its turn, in milliseconds. */
  public usedMs = 0;

  private readonly push: net.Socket['push'];

  private readonly startReading: net.Socket['_read'];

  public constructor(
    private readonly socket: net.Socket,
    private readonly options: PacedReaderOptions,
  ) {
    const { push, _read: read } = socket;
    this.push = push.bind(socket);
    this.startReading = read.bind(socket);
    Object.assign(socket, {
      push: (chunk: Buffer | null) => this.receive(chunk),
      _read: () => this.onWanted(),
    });
  }

  /** What the connection belongs to. */
  public get label(): string {
    return this.options.label;
  }

  /** Whether a piece can be handed over. */
  public get isReady(): boolean {
    const { hasEnded, isOnHold, isWanted, pending, socket } = this;
    return !socket.destroyed && isWanted && !isOnHold && (pending !== undefined || hasEnded);
  }

  /** Hands over the next piece, or the end of the connection. */
  public handOver(): void {
    const { pending, socket } = this;
    if (!this.isReady) return;
    if (pending === undefined) {
      this.hasEnded = false;
      this.push(null);
      socket.read(0);
      return;
    }
    const piece = pending.subarray(0, PIECE_BYTES);
    this.pending = pending.length > PIECE_BYTES ? pending.subarray(PIECE_BYTES) : undefined;
    this.options.onPiece?.(piece.length);
    if (socket.destroyed) return;
    this.isWanted = this.push(piece);
    this.resumeReading();
  }

  /** Stops handing over until `release`. */
  public hold(): void {
    this.isOnHold = true;
  }

  /** Continues after `hold`. */
  public release(): void {
    this.isOnHold = false;
    if (this.isReady) this.options.requestTurn(this);
    else this.resumeReading();
  }

  /**
   * Drops what arrives from now on, up to a bound after which nothing more is read. The end of the
   * connection is still handed over.
   */
  public discard(): void {
    this.isDiscarding = true;
    this.pending = undefined;
    this.release();
  }

  /** Takes what has arrived. Returns whether more may be read from the connection. */
  private receive(chunk: Buffer | null): boolean {
    if (chunk === null) this.hasEnded = true;
    else if (this.isDiscarding) this.drop(chunk);
    else this.pending = this.pending === undefined ? chunk : Buffer.concat([this.pending, chunk]);
    if (this.isReady) this.options.requestTurn(this);
    return this.mayRead;
  }

  private drop(chunk: Buffer): void {
    this.discardedBytes += chunk.length;
    if (this.discardedBytes >= MAXIMUM_DISCARDED_BYTES) this.hold();
  }

  /** Called when the consumer takes more. */
  private onWanted(): void {
    this.isWanted = true;
    if (this.isReady) this.options.requestTurn(this);
    else this.resumeReading();
  }

  /** Whether more may be read from the connection. */
  private get mayRead(): boolean {
    return this.isWanted && !this.isOnHold && this.pending === undefined && !this.hasEnded;
  }

  private resumeReading(): void {
    if (this.mayRead && !this.socket.destroyed) this.startReading(0);
  }
}
