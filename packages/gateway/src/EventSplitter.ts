const LINE_FEED = 0x0a;

/** Maximum size of a buffered event, in bytes; far larger than the events that engines send. */
export const MAXIMUM_EVENT_BYTES = 1024 * 1024;

const EVENT_END = Buffer.from('\n\n');
const ID_FIELD = /^id: ?(\d+)/m;
const DATA_FIELD = /^data: ?(.*)$/gm;

/** One event of a stream. */
export interface ServerSentEvent {
  readonly id: number | undefined;
  /** The unchanged event, including the empty line that ends it. */
  readonly bytes: Buffer;
}

/** Splits a stream into events, so that only complete events are passed on. */
export class EventSplitter {
  /**
   * Chunks of an incomplete event. They are joined only when the event is complete, so that its
   * bytes are not copied with each chunk.
   */
  private pendingChunks: Buffer[] = [];

  private pendingSize = 0;

  /** Buffered bytes of an incomplete event. */
  public get pendingBytes(): number {
    return this.pendingSize;
  }

  /** Whether the incomplete event exceeds the maximum size. */
  public get isOversized(): boolean {
    return this.pendingSize > MAXIMUM_EVENT_BYTES;
  }

  /** Takes a chunk of the stream and returns the events that it completes. */
  public push(chunk: Uint8Array): readonly ServerSentEvent[] {
    const buffer = asBuffer(chunk);
    const mayEnd = buffer.includes(EVENT_END) || (buffer[0] === LINE_FEED && this.endsWithLineFeed);
    if (buffer.length > 0) this.pendingChunks.push(buffer);
    this.pendingSize += buffer.length;
    if (!mayEnd) return [];
    const bytes = this.pendingChunks.length === 1 ? buffer : Buffer.concat(this.pendingChunks);
    const events: ServerSentEvent[] = [];
    let start = 0;
    for (;;) {
      const end = bytes.indexOf(EVENT_END, start);
      if (end < 0) break;
      let next = end + EVENT_END.length;
      while (bytes[next] === LINE_FEED) next += 1;
      events.push(readEvent(bytes.subarray(start, next)));
      start = next;
    }
    this.pendingChunks = start < bytes.length ? [bytes.subarray(start)] : [];
    this.pendingSize = bytes.length - start;
    return events;
  }

  private get endsWithLineFeed(): boolean {
    return this.pendingChunks.at(-1)?.at(-1) === LINE_FEED;
  }
}

/** The contents of the data fields of an event, joined by line feeds. */
export function eventData(event: ServerSentEvent): string {
  const text = event.bytes.toString('utf8');
  return [...text.matchAll(DATA_FIELD)].map((match) => match[1] ?? '').join('\n');
}

function readEvent(bytes: Buffer): ServerSentEvent {
  const id = ID_FIELD.exec(bytes.toString('latin1'))?.[1];
  return { id: id === undefined ? undefined : Number(id), bytes };
}

function asBuffer(chunk: Uint8Array): Buffer {
  return Buffer.isBuffer(chunk) ? chunk : Buffer.from(chunk);
}
