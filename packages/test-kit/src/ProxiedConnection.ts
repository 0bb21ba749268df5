import type * as net from 'node:net';

import type * as clock from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';
import * as standIns from '@limpettack/stand-ins';

import * as directions from './Directions.js';
import type { ConnectionFaults, Direction } from './Types.js';

const { DIRECTIONS } = directions;

interface HeldPiece {
  readonly piece: Buffer;
  readonly receivedAt: clock.Milliseconds;
}

/** One connection through the proxy: two sockets and one forwarding loop a direction. */
export class ProxiedConnection {
  private readonly wake = new lifetime.Emitter<void>();

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

  /** Forwards both ways until both have ended or one side has failed. */
  public async run(): Promise<void> {
    const up = this.forward(this.client, this.server, DIRECTIONS.UP);
    const down = this.forward(this.server, this.client, DIRECTIONS.DOWN);
    await Promise.all([up, down]);
    this.isClosed = true;
    this.client.destroy();
    this.server.destroy();
  }

  /** Closes both sides with a reset. */
  public reset(): void {
    this.isClosed = true;
    standIns.resetSocket(this.client);
    standIns.resetSocket(this.server);
    this.resume();
  }

  /** Forwards nothing more, for good, and leaves both sides open. */
  public blackHole(): void {
    this.isBlackHole = true;
  }

  /** Lets pieces go on that were held back by silence. */
  public resume(): void {
    this.wake.fire();
  }

  /** Reads ahead into a queue, so that a delay holds back each piece and not the throughput. */
  private async forward(source: net.Socket, sink: net.Socket, direction: Direction): Promise<void> {
    const queue: HeldPiece[] = [];
    let hasEnded = false;
    source.on('data', (piece: Buffer) => {
      if (this.isBlackHole) return;
      queue.push({ piece, receivedAt: this.time.now() });
      this.wake.fire();
    });
    source.on('end', () => {
      hasEnded = true;
      this.wake.fire();
    });
    source.on('error', () => this.fail());
    source.on('close', () => {
      hasEnded = true;
      this.wake.fire();
    });
    while (!this.isClosed) {
      const held = queue.shift();
      if (held !== undefined) await this.pass(held, sink, direction);
      else if (hasEnded) break;
      else await this.nextWake();
    }
    await this.waitWhileSilenced(direction);
    if (!this.isClosed && !this.isBlackHole) sink.end();
    else if (this.isBlackHole) await this.untilClosed();
  }

  private async pass(held: HeldPiece, sink: net.Socket, direction: Direction): Promise<void> {
    const waitMs = held.receivedAt + this.faults.delayMs() - this.time.now();
    if (waitMs > 0) await this.time.sleep(waitMs);
    await this.waitWhileSilenced(direction);
    if (this.isClosed || this.isBlackHole) return;
    const { length } = held.piece;
    const taken = direction === DIRECTIONS.DOWN ? this.faults.takeDownBytes(length) : length;
    sink.write(held.piece.subarray(0, taken));
    this.faults.countForwarded(taken);
    if (taken < length) await this.endAfterWrites(sink);
  }

  /** A reset would throw away what was written, so both sides are closed after it was sent. */
  private async endAfterWrites(sink: net.Socket): Promise<void> {
    await new Promise<void>((resolve) => {
      sink.end(resolve);
    });
    this.isClosed = true;
    this.resume();
  }

  private async waitWhileSilenced(direction: Direction): Promise<void> {
    while (this.faults.isSilenced(direction) && !this.isClosed) await this.nextWake();
  }

  private async untilClosed(): Promise<void> {
    while (!this.isClosed) await this.nextWake();
  }

  private async nextWake(): Promise<void> {
    await new Promise<void>((resolve) => {
      const subscription = this.wake.event(() => {
        Promise.resolve(subscription.dispose()).catch(() => undefined);
        resolve();
      });
    });
  }

  private fail(): void {
    if (!this.isBlackHole) this.reset();
  }
}
