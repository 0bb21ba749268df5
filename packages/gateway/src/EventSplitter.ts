const LINE_FEED = 0x0a;
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
  private rest: Buffer = Buffer.alloc(0);

  /** Bytes of an event that is not whole yet. */
  public get heldBytes(): number {
    return this.rest.length;
  }

  /** Takes a part of the stream and returns the events that are whole now. */
  public push(chunk: Uint8Array): readonly StreamEvent[] {
    const bytes = this.rest.length === 0 ? asBuffer(chunk) : Buffer.concat([this.rest, chunk]);
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
    this.rest = bytes.subarray(start);
    return events;
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
