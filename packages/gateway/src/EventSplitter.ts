const LINE_FEED = 0x0a;

/** The most bytes of an event that are held, far above what an engine sends in one. */
export const LARGEST_EVENT_BYTES = 1024 * 1024;

const EVENT_END = Buffer.from('\n\n');
const ID_FIELD = /^id: ?(\d+)/m;
const DATA_FIELD = /^data: ?(.*)$/gm;

/** One event of a stream. */
export interface StreamEvent {
  readonly id: number | undefined;
  /** The event as it came, with the empty line that ends it. */
  readonly bytes: Buffer;
}

/** Cuts a stream into events, so that only whole events are passed on. */
export class EventSplitter {
  /** The parts of an event that is not whole yet. They are joined once, when its end has come. */
  private held: Buffer[] = [];

  private heldSize = 0;

  /** Bytes of an event that is not whole yet. */
  public get heldBytes(): number {
    return this.heldSize;
  }

  /** Whether what is held cannot become an event any more. */
  public get isOverfull(): boolean {
    return this.heldSize > LARGEST_EVENT_BYTES;
  }

  /** Takes a part of the stream and returns the events that are whole now. */
  public push(chunk: Uint8Array): readonly StreamEvent[] {
    const part = asBuffer(chunk);
    const mayEnd = part.includes(EVENT_END) || (part[0] === LINE_FEED && this.endsWithLineFeed);
    if (part.length > 0) this.held.push(part);
    this.heldSize += part.length;
    if (!mayEnd) return [];
    const bytes = this.held.length === 1 ? part : Buffer.concat(this.held);
    const events: StreamEvent[] = [];
    let start = 0;
    for (;;) {
      const end = bytes.indexOf(EVENT_END, start);
      if (end < 0) break;
      let next = end + EVENT_END.length;
      while (bytes[next] === LINE_FEED) next += 1;
      events.push(readEvent(bytes.subarray(start, next)));
      start = next;
    }
    this.held = start < bytes.length ? [bytes.subarray(start)] : [];
    this.heldSize = bytes.length - start;
    return events;
  }

  private get endsWithLineFeed(): boolean {
    return this.held.at(-1)?.at(-1) === LINE_FEED;
  }
}

/** The data of an event, its lines joined. */
export function eventData(event: StreamEvent): string {
  const text = event.bytes.toString('utf8');
  return [...text.matchAll(DATA_FIELD)].map((match) => match[1] ?? '').join('\n');
}

function readEvent(bytes: Buffer): StreamEvent {
  const id = ID_FIELD.exec(bytes.toString('latin1'))?.[1];
  return { id: id === undefined ? undefined : Number(id), bytes };
}

function asBuffer(chunk: Uint8Array): Buffer {
  return Buffer.isBuffer(chunk) ? chunk : Buffer.from(chunk);
}
