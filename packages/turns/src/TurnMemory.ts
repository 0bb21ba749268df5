import * as memoryReservation from './MemoryReservation.js';

/** Only holders of up to this size may use the reserved share of the memory, in bytes. */
const SMALL_BYTES = 256 * 1024;

/** The share of the memory that is reserved for small holders. */
const SMALL_SHARE = 0.25;

/**
 * Bounds the memory of all turns of a process together: the histories that are being read, the
 * bodies that contain them, and the records that are not stored yet. What finds no room is refused,
 * because each of these is held for seconds while targets, callers or the log are slow. A part is
 * reserved for short conversations, which would otherwise find no room beside long ones.
 */
export class TurnMemory {
  private heldBytes = 0;

  public constructor(private readonly capacityBytes: number) {}

  /** The memory that all reservations hold. */
  public get usedBytes(): number {
    return this.heldBytes;
  }

  /** Opens an empty reservation. */
  public open(): memoryReservation.MemoryReservation {
    return new memoryReservation.MemoryReservation({
      fits: (bytes, ownBytes) => this.fits(bytes, ownBytes),
      add: (bytes) => {
        this.heldBytes += bytes;
      },
    });
  }

  private fits(bytes: number, ownBytes: number): boolean {
    const isSmall = ownBytes + bytes <= SMALL_BYTES;
    const limit = isSmall ? this.capacityBytes : this.capacityBytes * (1 - SMALL_SHARE);
    return this.heldBytes + bytes <= limit;
  }
}
