import type * as turns from '@limpettack/turns';
import * as bodyChunks from './BodyChunks.js';
import type * as eventSplitter from './EventSplitter.js';

/** An output up to this size is stored even if the turns use all the memory that they may use. */
const USUAL_OUTPUT_BYTES = 256 * 1024;

const LINE_FEED = Buffer.from('\n');

/** Collects the output of a retained turn, which becomes part of its record. */
export class TurnOutput {
  private readonly chunks = new bodyChunks.BodyChunks();

  private lastCollectedId = -1;

  public constructor(private readonly memory: turns.MemoryReservation) {}

  /**
   * Adds an event. Skips events that a target sends again after a retry. Returns false if a long
   * output finds no memory. A usual one is not refused, since its turn has run.
   */
  public add({ data, id }: eventSplitter.ServerSentEvent): boolean {
    if (data === undefined || (id !== undefined && id <= this.lastCollectedId)) return true;
    this.lastCollectedId = id ?? this.lastCollectedId;
    const collectedBytes = this.chunks.push(viewOf(data)) + this.chunks.push(LINE_FEED);
    // The record contains the output once more.
    const bytes = collectedBytes + data.length;
    if (this.memory.reserve(bytes)) return true;
    this.memory.add(bytes);
    return this.chunks.size <= USUAL_OUTPUT_BYTES;
  }

  /** What the turn adds to the history: its input, followed by its output. */
  public recordContent(input: Uint8Array): Uint8Array {
    return Buffer.concat([input, this.chunks.take()]);
  }
}

function viewOf({ buffer, byteLength, byteOffset }: Uint8Array): Buffer {
  return Buffer.from(buffer, byteOffset, byteLength);
}
