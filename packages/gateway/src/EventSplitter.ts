import * as bodyChunks from './BodyChunks.js';

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COLON = 0x3a;
const SPACE = 0x20;

/** Maximum size of a buffered event, in bytes; far larger than the events that engines send. */
export const MAXIMUM_EVENT_BYTES = 1024 * 1024;

/** A `Buffer` of a few bytes costs far more memory than its content, so no more are held. */
const MAXIMUM_PENDING_CHUNKS = 16;

const LINE_SEPARATOR = Buffer.from('\n');
const DIGITS = /^\d+$/;

/** One event of a stream. */
export interface ServerSentEvent {
  readonly id: number | undefined;
  /**
   * The values of its data fields, joined by line feeds. Undefined if it has none, such as a
   * comment that keeps the connection open, which is not an event for the receiver.
   */
  readonly data: Uint8Array | undefined;
  /** The unchanged event, including the empty line that ends it. */
  readonly bytes: Uint8Array;
}

/**
 * Splits a stream into events, so that only complete events are passed on. Works on bytes: decoded
 * text would have further line terminators, and an event may hold part of a character.
 */
export class EventSplitter {
  /**
   * The last chunks of an incomplete event. They are joined only when the event is complete, so that
   * its bytes are not copied with each chunk.
   */
  private pendingChunks: Buffer[] = [];

  /** The chunks before them, if there are many. */
  private readonly earlierChunks = new bodyChunks.BodyChunks();

  private pendingSize = 0;

  /** Whether the pending bytes contain anything but empty lines. */
  private hasContent = false;

  private isAtLineStart = true;

  /** Whether the last byte was a carriage return. A line feed would belong to the same line end. */
  private endsWithCarriageReturn = false;

  /** Buffered bytes of an incomplete event. */
  public get pendingBytes(): number {
    return this.pendingSize;
  }

  /** Whether the incomplete event exceeds the maximum size. */
  public get isOversized(): boolean {
    return this.pendingSize > MAXIMUM_EVENT_BYTES;
  }

  /** Whether a stream that ends here ends before the end of an event. */
  public get isWithinEvent(): boolean {
    return this.hasContent;
  }

  /** Takes a chunk of the stream and returns the events that it completes. */
  public push(chunk: Uint8Array): readonly ServerSentEvent[] {
    const buffer = asBuffer(chunk);
    const events: ServerSentEvent[] = [];
    let eventStart = 0;
    let position = this.skipSplitLineEnd(buffer);
    while (position < buffer.length) {
      const lineEnd = findLineEnd(buffer, position);
      if (lineEnd > position) {
        this.hasContent = true;
        this.isAtLineStart = false;
      }
      if (lineEnd === buffer.length) break;
      const endsEvent = this.isAtLineStart && this.hasContent;
      this.isAtLineStart = true;
      position = skipLineEnd(buffer, lineEnd);
      this.endsWithCarriageReturn =
        position === buffer.length && buffer[position - 1] === CARRIAGE_RETURN;
      if (endsEvent) {
        events.push(readEvent(this.takeEvent(buffer.subarray(eventStart, position))));
        eventStart = position;
      }
    }
    this.addPending(buffer.subarray(eventStart));
    return events;
  }

  /** Removes and returns the empty lines after the last event of a stream that has ended. */
  public takeTrailingLines(): Uint8Array {
    return this.takePending();
  }

  /** Skips the line feed of a line end whose carriage return ended the previous chunk. */
  private skipSplitLineEnd(buffer: Buffer): number {
    if (!this.endsWithCarriageReturn || buffer.length === 0) return 0;
    this.endsWithCarriageReturn = false;
    return buffer[0] === LINE_FEED ? 1 : 0;
  }

  private takeEvent(end: Buffer): Buffer {
    this.addPending(end);
    this.hasContent = false;
    return this.takePending();
  }

  private takePending(): Buffer {
    const chunks = this.pendingChunks;
    this.pendingChunks = [];
    this.pendingSize = 0;
    if (this.earlierChunks.size === 0)
      return chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
    chunks.forEach((chunk) => this.earlierChunks.push(chunk));
    return this.earlierChunks.take();
  }

  private addPending(chunk: Buffer): void {
    if (chunk.length === 0) return;
    this.pendingChunks.push(chunk);
    this.pendingSize += chunk.length;
    if (this.pendingChunks.length < MAXIMUM_PENDING_CHUNKS) return;
    this.pendingChunks.splice(0).forEach((pending) => this.earlierChunks.push(pending));
  }
}

function readEvent(bytes: Buffer): ServerSentEvent {
  let id: number | undefined;
  const data: Buffer[] = [];
  let position = 0;
  while (position < bytes.length) {
    const lineEnd = findLineEnd(bytes, position);
    const { name, value } = readField(bytes.subarray(position, lineEnd));
    if (name === 'data') data.push(...(data.length > 0 ? [LINE_SEPARATOR] : []), value);
    if (name === 'id') id = readId(value) ?? id;
    position = skipLineEnd(bytes, lineEnd);
  }
  return { id, bytes, data: data.length > 1 ? Buffer.concat(data) : data[0] };
}

function readField(line: Buffer): { readonly name: string; readonly value: Buffer } {
  const colon = line.indexOf(COLON);
  if (colon < 0) return { name: line.toString('latin1'), value: Buffer.alloc(0) };
  const valueStart = line[colon + 1] === SPACE ? colon + 2 : colon + 1;
  return { name: line.toString('latin1', 0, colon), value: line.subarray(valueStart) };
}

function readId(value: Buffer): number | undefined {
  const text = value.toString('latin1');
  return DIGITS.test(text) ? Number(text) : undefined;
}

/** The position of the first line feed or carriage return, or the length of the bytes. */
function findLineEnd(bytes: Buffer, from: number): number {
  let position = from;
  while (position < bytes.length) {
    const byte = bytes[position];
    if (byte === LINE_FEED || byte === CARRIAGE_RETURN) break;
    position += 1;
  }
  return position;
}

/** The position after a line end, which is a line feed, a carriage return or both. */
function skipLineEnd(bytes: Buffer, lineEnd: number): number {
  const isPair = bytes[lineEnd] === CARRIAGE_RETURN && bytes[lineEnd + 1] === LINE_FEED;
  return lineEnd + (isPair ? 2 : 1);
}

function asBuffer(chunk: Uint8Array): Buffer {
  return Buffer.isBuffer(chunk) ? chunk : Buffer.from(chunk);
}
