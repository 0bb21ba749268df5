import type * as lifetime from '@limpettack/lifetime';

/** The memory from which reservations are made. */
export interface ReservedMemory {
  /** Whether a reservation of `ownBytes` may grow by `bytes`. */
  readonly fits: (bytes: number, ownBytes: number) => boolean;
  /** Adds to the used memory; negative when memory is released. */
  readonly add: (bytes: number) => void;
}

/** The memory that one turn, or one lookup of a history, holds. Released by its disposal. */
export class MemoryReservation implements lifetime.Disposable {
  private heldBytes = 0;

  private isReleased = false;

  public constructor(private readonly memory: ReservedMemory) {}

  /** Reserves more memory. Returns false if there is no room, or after the disposal. */
  public reserve(bytes: number): boolean {
    if (this.isReleased || !this.memory.fits(bytes, this.heldBytes)) return false;
    this.add(bytes);
    return true;
  }

  /** Counts memory that is already in use and cannot be refused. */
  public add(bytes: number): void {
    if (this.isReleased) return;
    this.heldBytes += bytes;
    this.memory.add(bytes);
  }

  /** @inheritdoc */
  public dispose(): void {
    this.isReleased = true;
    this.memory.add(-this.heldBytes);
    this.heldBytes = 0;
  }
}
