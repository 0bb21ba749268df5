/** One server-sent event. */
export interface ServerSentEvent {
  readonly id?: string;
  readonly data: string;
}

const FIELD_SEPARATOR = ': ';

/** Reads server-sent events from text that comes in arbitrary pieces. */
export class ServerSentEventParser {
  private rest = '';

  private data: string[] = [];

  private id: string | undefined;

  /** Characters that are held until their event is whole. */
  public get heldLength(): number {
    return this.data.reduce((sum, line) => sum + line.length, this.rest.length);
  }

  /** Takes a piece of text and returns the events that are whole now. */
  public push(text: string): readonly ServerSentEvent[] {
    const lines = (this.rest + text).split('\n');
    this.rest = lines.pop() ?? '';
    return lines.flatMap((line) => this.readLine(line.endsWith('\r') ? line.slice(0, -1) : line));
  }

  private readLine(line: string): readonly ServerSentEvent[] {
    if (line === '') return this.endEvent();
    const colon = line.indexOf(':');
    const field = colon < 0 ? line : line.slice(0, colon);
    const valueStart = line.startsWith(FIELD_SEPARATOR, colon) ? colon + 2 : colon + 1;
    const value = colon < 0 ? '' : line.slice(valueStart);
    if (field === 'data') this.data.push(value);
    if (field === 'id') this.id = value;
    return [];
  }

  private endEvent(): readonly ServerSentEvent[] {
    const { data, id } = this;
    this.data = [];
    this.id = undefined;
    if (data.length === 0) return [];
    return [{ data: data.join('\n'), ...(id === undefined ? {} : { id }) }];
  }
}
