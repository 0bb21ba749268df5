import * as process from 'node:process';
import * as v8 from 'node:v8';
import * as vm from 'node:vm';
import * as jestGlobals from '@jest/globals';
import * as eventSplitter from './EventSplitter.js';
import * as fixtures from './testing/gatewayFixtures.js';

const { describe, expect, test } = jestGlobals;

const LINE_SEPARATOR = '\u2028';
const PARAGRAPH_SEPARATOR = '\u2029';
const NEXT_LINE = '\u0085';

describe('EventSplitter', () => {
  test('finds the same events for any division into chunks', () => {
    const stream = Buffer.concat([1, 2, 3].map(fixtures.eventBytes));
    for (let size = 1; size < stream.length; size += 1) {
      const { events, splitter } = splitInto(stream, size);
      expect(events.map(({ id }) => id)).toEqual([1, 2, 3]);
      expect(events.map(dataOf)).toEqual(['text 1', 'text 2', 'text 3']);
      expect(splitter.pendingBytes).toBe(0);
    }
  });

  test.each([
    ['line feeds', '\n'],
    ['carriage returns', '\r'],
    ['both', '\r\n'],
  ])('lines may end with %s, in any division into chunks', (_name, lineEnd) => {
    const lines = ['id: 1', 'data: one', 'data:two', '', 'data: three', 'id: 2', ''];
    const stream = Buffer.from(lines.map((line) => line + lineEnd).join(''));
    for (let size = 1; size < stream.length; size += 1) {
      const { events, splitter } = splitInto(stream, size);
      expect(events.map(({ id }) => id)).toEqual([1, 2]);
      expect(events.map(dataOf)).toEqual(['one\ntwo', 'three']);
      expect(splitter.isWithinEvent).toBe(false);
      const parts = [...events.map(({ bytes }) => bytes), splitter.takeTrailingLines()];
      expect(Buffer.concat(parts)).toEqual(stream);
    }
  });

  // A text with a Unicode line separator was cut there in the history of a retained turn.
  test('only line feeds and carriage returns end a line', () => {
    const text = `a${LINE_SEPARATOR}b${PARAGRAPH_SEPARATOR}c${NEXT_LINE}d\v\fe`;
    const { events } = splitInto(Buffer.from(`id: 1\ndata: ${text}\n\n`), 1);
    expect(events.map(dataOf)).toEqual([text]);
    expect(events[0]?.id).toBe(1);
  });

  // A character that an engine splits between two events was replaced in the history.
  test('the data is the bytes of the event, also if they are no whole characters', () => {
    const [first, second, third] = Buffer.from('€');
    const stream = Buffer.concat([
      Buffer.from('data: '),
      Buffer.from([first!, second!]),
      Buffer.from('\n\ndata: '),
      Buffer.from([third!]),
      Buffer.from('\n\n'),
    ]);
    const { events } = splitInto(stream, stream.length);
    expect(Buffer.concat(events.map(({ data }) => data!)).toString()).toBe('€');
  });

  test('a comment has no data, an empty data field does', () => {
    const { events } = splitInto(Buffer.from(': alive\n\ndata\n\ndata:\ndata:\n\n'), 5);
    expect(events.map(({ data }) => data?.length)).toEqual([undefined, 0, 1]);
  });

  test('a stream ends within an event unless only empty lines follow the last event', () => {
    const complete = splitInto(Buffer.from('data: a\n\n\n'), 9);
    expect(complete.splitter.isWithinEvent).toBe(false);
    expect(Buffer.from(complete.splitter.takeTrailingLines()).toString()).toBe('\n');
    expect(splitInto(Buffer.from('data: a\n'), 9).splitter.isWithinEvent).toBe(true);
    expect(splitInto(Buffer.from('data: a\n\nd'), 9).splitter.isWithinEvent).toBe(true);
  });
});

describe('EventSplitter of a stream with an endless event', () => {
  test.each([
    ['without line ends', 'x'.repeat(64)],
    ['of many lines', `data: ${'x'.repeat(57)}\n`],
  ])('reports an oversized event %s without joining its chunks', (_name, text) => {
    const splitter = new eventSplitter.EventSplitter();
    const chunk = Buffer.from(text);
    const startedAt = Date.now();
    // Joining the chunks again at each push would copy over 8 GB here.
    for (let size = 0; size <= eventSplitter.MAXIMUM_EVENT_BYTES; size += chunk.length) {
      if (splitter.isOversized) throw new Error(`oversized at ${size}`);
      splitter.push(chunk);
    }
    expect(splitter.isOversized).toBe(true);
    expect(Date.now() - startedAt).toBeLessThan(1_000);
  });
});

describe('EventSplitter of a stream in chunks of one byte', () => {
  // Each byte was kept as a buffer of its own. 50 such streams ended a process within seconds.
  test('an incomplete event costs little more memory than its bytes', () => {
    const collectGarbage = exposeGarbageCollection();
    const splitter = new eventSplitter.EventSplitter();
    collectGarbage();
    const before = measureMemory();
    const size = 512 * 1024;
    for (let index = 0; index < size; index += 1) splitter.push(Buffer.from('x'));
    collectGarbage();
    expect(measureMemory() - before).toBeLessThan(2 * size);
    const [event] = splitter.push(Buffer.from('\n\n'));
    expect(event?.bytes).toHaveLength(size + 2);
    expect(splitter.pendingBytes).toBe(0);
  });
});

function exposeGarbageCollection(): () => void {
  v8.setFlagsFromString('--expose-gc');
  return vm.runInNewContext('gc') as () => void;
}

function measureMemory(): number {
  const { arrayBuffers, heapUsed } = process.memoryUsage();
  return arrayBuffers + heapUsed;
}

interface Split {
  readonly events: readonly eventSplitter.ServerSentEvent[];
  readonly splitter: eventSplitter.EventSplitter;
}

function splitInto(stream: Buffer, chunkSize: number): Split {
  const splitter = new eventSplitter.EventSplitter();
  const events: eventSplitter.ServerSentEvent[] = [];
  for (let start = 0; start < stream.length; start += chunkSize)
    events.push(...splitter.push(stream.subarray(start, start + chunkSize)));
  return { events, splitter };
}

function dataOf({ data }: eventSplitter.ServerSentEvent): string | undefined {
  return data === undefined ? undefined : Buffer.from(data).toString();
}
