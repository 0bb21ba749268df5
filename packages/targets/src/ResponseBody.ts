/**
 * Maximum size of what is received before it is read, in bytes. Also bounds the memory of a stream whose
 * caller reads slowly.
 */
const MAXIMUM_UNREAD_BYTES = 1_024 * 1_024;

/** What a piece occupies besides its bytes. Pieces may have a single byte. */
const PIECE_OVERHEAD_BYTES = 128;

/**
 * Receives a body as it arrives, whether or not it is read. A body must not be paused, because the HTTP
 * client throws in its socket listeners if a connection ends with a paused response.
 */
export class ResponseBody {
  private readonly pieces: Buffer[] = [];

  private unreadBytes = 0;

  private hasEnded = false;

  private failure: Error | undefined;

  private wake: () => void = () => undefined;

  public constructor(private readonly body: AsyncIterable<Buffer>) {
    this.receive();
  }

  /** Waits for the next piece. Undefined at the end of the body. Rejects if it was cut short. */
  public async next(): Promise<Buffer | undefined> {
    while (this.pieces.length === 0 && !this.hasEnded) {
      await new Promise<void>((resolve) => {
        this.wake = resolve;
      });
    }
    const piece = this.pieces.shift();
    if (piece !== undefined) this.unreadBytes -= sizeOf(piece);
    else if (this.failure !== undefined) throw this.failure;
    return piece;
  }

  private async receive(): Promise<void> {
    try {
      for await (const piece of this.body) {
        this.unreadBytes += sizeOf(piece);
        if (this.unreadBytes > MAXIMUM_UNREAD_BYTES)
          throw new Error('Too much of the response is unread.');
        this.pieces.push(piece);
        this.wake();
      }
    } catch (error) {
      this.failure = error as Error;
    }
    this.hasEnded = true;
    this.wake();
  }
}

function sizeOf(piece: Buffer): number {
  return piece.length + PIECE_OVERHEAD_BYTES;
}
