/** One server-sent event. */
export interface ServerSentEvent {
  readonly id?: string;
  readonly data: string;
}

const FIELD_SEPARATOR = ': ';

/** Parses server-sent events from text that arrives in arbitrary pieces. */
export class ServerSentEventParser {
  private remainder = '';

  private data: string[] = [];

  private id: string | undefined;

  /** Number of buffered characters of incomplete events. */
  public get bufferedLength(): number {
    return this.data.reduce((sum, line) => sum + line.length, this.remainder.length);
  }

  /** Adds a piece of text and returns the events that it completes. */
  public push(text: string): readonly ServerSentEvent[] {
    const lines = (this.remainder + text).split('\n');
    this.remainder = lines.pop() ?? '';
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
