import type * as net from 'node:net';

import type * as clock from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';
import * as standIns from '@limpettack/stand-ins';

import * as directions from './Directions.js';
import type { ConnectionFaults, Direction } from './Types.js';

const { DIRECTIONS } = directions;

interface QueuedChunk {
  readonly chunk: Buffer;
  readonly receivedAt: clock.Milliseconds;
}

/** A connection through the proxy: two sockets and a forwarding loop for each direction. */
export class ProxiedConnection {
  private readonly stateChanged = new lifetime.Emitter<void>();

  private isBlackHole = false;

  private isClosed = false;

  public constructor(
    private readonly time: clock.Clock,
    private readonly client: net.Socket,
    private readonly server: net.Socket,
    private readonly faults: ConnectionFaults,
  ) {
    [client, server].forEach((socket) => socket.setNoDelay(true));
  }

  /** Forwards data until both directions have ended or a socket fails, then closes both sockets. */
  public async run(): Promise<void> {
    const up = this.forward(this.client, this.server, DIRECTIONS.UP);
    const down = this.forward(this.server, this.client, DIRECTIONS.DOWN);
    await Promise.all([up, down]);
    this.isClosed = true;
    this.client.destroy();
    this.server.destroy();
  }

  /** Resets both sockets. */
  public reset(): void {
    this.isClosed = true;
    standIns.resetSocket(this.client);
    standIns.resetSocket(this.server);
    this.resume();
  }

  /** Permanently stops forwarding and leaves both sockets open. */
  public blackHole(): void {
    this.isBlackHole = true;
  }

  /** Checks the faults again, so that chunks held back by a removed fault are forwarded. */
  public resume(): void {
    this.stateChanged.fire();
  }

  /**
   * Forwards one direction. Chunks are queued on receipt, so that a delay adds latency to each of
   * them without reducing the throughput.
   */
  private async forward(source: net.Socket, sink: net.Socket, direction: Direction): Promise<void> {
    const queue: QueuedChunk[] = [];
    let hasEnded = false;
    source.on('data', (chunk: Buffer) => {
      if (this.isBlackHole) return;
      queue.push({ chunk, receivedAt: this.time.now() });
      this.stateChanged.fire();
    });
    source.on('end', () => {
      hasEnded = true;
      this.stateChanged.fire();
    });
    source.on('error', () => this.handleError());
    source.on('close', () => {
      hasEnded = true;
      this.stateChanged.fire();
    });
    while (!this.isClosed) {
      const queued = queue.shift();
      if (queued !== undefined) await this.forwardChunk(queued, sink, direction);
      else if (hasEnded) break;
      else await this.nextStateChange();
    }
    await this.waitWhileSilenced(direction);
    if (!this.isClosed && !this.isBlackHole) sink.end();
    else if (this.isBlackHole) await this.untilClosed();
  }

  private async forwardChunk(
    queued: QueuedChunk,
    sink: net.Socket,
    direction: Direction,
  ): Promise<void> {
    const waitMs = queued.receivedAt + this.faults.delayMs() - this.time.now();
    if (waitMs > 0) await this.time.sleep(waitMs);
    await this.waitWhileSilenced(direction);
    if (this.isClosed || this.isBlackHole) return;
    const { length } = queued.chunk;
    const forwardedLength =
      direction === DIRECTIONS.DOWN ? this.faults.consumeDownstreamBytes(length) : length;
    sink.write(queued.chunk.subarray(0, forwardedLength));
    this.faults.countForwarded(forwardedLength);
    if (forwardedLength < length) await this.endAfterWrites(sink);
  }

  /** Closes both sockets after the written data is sent; a reset would discard that data. */
  private async endAfterWrites(sink: net.Socket): Promise<void> {
    await new Promise<void>((resolve) => {
      sink.end(resolve);
    });
    this.isClosed = true;
    this.resume();
  }

  private async waitWhileSilenced(direction: Direction): Promise<void> {
    while (this.faults.isSilenced(direction) && !this.isClosed) await this.nextStateChange();
  }

  private async untilClosed(): Promise<void> {
    while (!this.isClosed) await this.nextStateChange();
  }

  private async nextStateChange(): Promise<void> {
    await new Promise<void>((resolve) => {
      const subscription = this.stateChanged.event(() => {
        Promise.resolve(subscription.dispose()).catch(() => undefined);
        resolve();
      });
    });
  }

  private handleError(): void {
    if (!this.isBlackHole) this.reset();
  }
}
