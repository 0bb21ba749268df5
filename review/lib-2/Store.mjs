/* The rules that eslint.config.mjs has for the scripts under benchmarks/ hold here too: */
/* eslint import-x/extensions: 'off', import-x/prefer-default-export: 'off', no-await-in-loop: 'off',
   class-methods-use-this: 'off', no-restricted-syntax: 'off',
   no-param-reassign: ['error', { props: false }], no-use-before-define: ['error', { functions: false }] */
import * as buffer from 'node:buffer';
import * as timers from 'node:timers';
import * as url from 'node:url';
import * as http from 'node:http';

const LENGTH_BYTES = 4;
const OFFSET_BYTES = 8;
const REPEATABLE_APPENDS = 5;
const MAXIMUM_ITEMS = 500;
const MAXIMUM_LISTED_BYTES = 1_048_576;
const BYTES_PER_KILOBYTE = 1_024;
const WAIT_STEP_MS = 10;

/** How a door of the store treats the calls of its VM. */
export const DOOR_MODES = {
  OPEN: 'open',
  /** Calls are not answered and not executed. */
  SILENT: 'silent',
  /** Calls are rejected with 503. */
  BUSY: 'busy',
};

/**
 * A stand-in for the platform's store, as PROTOCOL.md describes it: a log whose `keyed.` topics keep the
 * newest record of each key, and whose history expires. Each VM has a door (a port) of its own.
 */
export class Store {
  constructor({ historyMs, appendMs = 4, readBytesPerSecond = 80_000_000 }) {
    this.historyMs = historyMs;
    this.appendMs = appendMs;
    this.readBytesPerSecond = readBytesPerSecond;
    this.readUntil = 0;
    this.partitions = new Map();
    this.doors = [];
  }

  /** Opens a door. Its `mode` may be changed at any time. */
  async openDoor() {
    const door = { mode: DOOR_MODES.OPEN };
    door.server = http.createServer((request, response) => {
      this.answer(door, request, response).catch(() => response.destroy());
    });
    door.server.keepAliveTimeout = 60_000;
    await new Promise((resolve) => {
      door.server.listen(0, '127.0.0.1', resolve);
    });
    door.address = `127.0.0.1:${door.server.address().port}`;
    this.doors.push(door);
    return door;
  }

  close() {
    this.doors.forEach(({ server }) => {
      server.closeAllConnections();
      server.close();
    });
  }

  /** Writes a record as an operator or a target does. */
  write(topic, key, content) {
    const value =
      content === undefined ? buffer.Buffer.alloc(0) : buffer.Buffer.from(JSON.stringify(content));
    this.store(this.partition(topic, 0), [encodeKeyed(key, value)], true);
  }

  /** The newest records of a topic's partition, by key. For the report only. */
  newestKeys(topic, part) {
    return [...this.partition(topic, part).newest.keys()];
  }

  async answer(door, request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    if (door.mode === DOOR_MODES.SILENT) return;
    if (door.mode === DOOR_MODES.BUSY) {
      response.writeHead(503).end('{}');
      return;
    }
    const address = new url.URL(request.url, 'http://store');
    const { body, status } = await this.call(address, buffer.Buffer.concat(chunks));
    if (door.mode === DOOR_MODES.SILENT) return;
    response.writeHead(status, { 'content-length': body.length }).end(body);
  }

  async call({ pathname, searchParams: query }, body) {
    const topic = query.get('Topic');
    const partition = this.partition(topic, Number(query.get('part')));
    if (pathname === '/v1/log-append') return this.append(topic, partition, query, body);
    const answer =
      pathname === '/v1/log-newest'
        ? this.newest(partition, query.get('after') ?? '')
        : await this.read(partition, query);
    await this.transmit(answer.bytes ?? answer.body.length);
    return answer;
  }

  async append(topic, partition, query, body) {
    if (topic === 'keyed.op' || topic === 'keyed.servers') return json(403, {});
    const turn = partition.appending.then(() => sleep(this.appendMs));
    partition.appending = turn;
    await turn;
    const at = query.get('At');
    const producer = query.get('Producer');
    const state = producer === null ? undefined : producerState(partition, producer);
    const sequence = Number(query.get('Seq'));
    if (state !== undefined) {
      const epoch = Number(query.get('epoch'));
      if (epoch < state.epoch) return json(409, { why: 'fenced' });
      if (epoch > state.epoch)
        Object.assign(state, { epoch, next: undefined, receipts: new Map() });
      const repeated = state.receipts.get(sequence);
      if (repeated !== undefined) return json(200, repeated);
      if (state.next !== undefined && sequence !== state.next)
        return json(409, { why: 'seq', Seq: state.next });
    }
    if (at !== null && Number(at) !== partition.end) return json(412, { EndOffset: partition.end });
    const firstOffset = partition.end;
    this.store(partition, decodeRecords(body), topic.startsWith('keyed.'));
    const receipt = { Offset: firstOffset, EndOffset: partition.end };
    if (state !== undefined) {
      state.next = sequence + 1;
      state.receipts.set(sequence, receipt);
      const [oldest] = state.receipts.keys();
      if (state.receipts.size > REPEATABLE_APPENDS) state.receipts.delete(oldest);
    }
    return json(200, receipt);
  }

  /** All reads share the bandwidth of the store. */
  async transmit(bytes) {
    const now = Date.now();
    this.readUntil = Math.max(now, this.readUntil) + (1000 * bytes) / this.readBytesPerSecond;
    if (this.readUntil - now >= 1) await sleep(this.readUntil - now);
  }

  newest(partition, after) {
    const rest = [...partition.newest]
      .filter(([key]) => key > after)
      .sort(([left], [right]) => (left < right ? -1 : 1));
    let bytes = 0;
    const listed = rest.slice(0, MAXIMUM_ITEMS).filter(([key, { value }], index) => {
      bytes += key.length + value.length;
      return index === 0 || bytes <= MAXIMUM_LISTED_BYTES;
    });
    const items = listed.map(([key, { offset, value }]) => ({
      Key: key,
      Value: value.toString('base64'),
      Offset: offset,
    }));
    const answer = json(200, { items, More: rest.length > items.length, EndOffset: partition.end });
    return { ...answer, bytes: Math.min(bytes, MAXIMUM_LISTED_BYTES) };
  }

  async read(partition, query) {
    const from = Number(query.get('From'));
    const maximumBytes = Number(query.get('MaxSize') ?? BYTES_PER_KILOBYTE) * BYTES_PER_KILOBYTE;
    const deadline = Date.now() + Number(query.get('WaitMs') ?? 0);
    while (from >= partition.end && Date.now() < deadline) await sleep(WAIT_STEP_MS);
    this.expire(partition);
    if (from < partition.first) return json(410, { First: partition.first });
    const head = buffer.Buffer.alloc(2 * OFFSET_BYTES);
    head.writeBigUInt64BE(BigInt(partition.end), 0);
    head.writeBigUInt64BE(BigInt(partition.first), OFFSET_BYTES);
    const parts = [head];
    let bytes = 0;
    for (const { content } of partition.records.slice(Math.max(0, from - partition.first))) {
      bytes += content.length;
      if (parts.length > 1 && bytes > maximumBytes) break;
      const length = buffer.Buffer.alloc(LENGTH_BYTES);
      length.writeUInt32BE(content.length);
      parts.push(length, content);
    }
    return { status: 200, body: buffer.Buffer.concat(parts) };
  }

  partition(topic, part) {
    const key = `${topic}/${part}`;
    const known = this.partitions.get(key);
    if (known !== undefined) return known;
    const created = {
      first: 0,
      end: 0,
      records: [],
      newest: new Map(),
      producers: new Map(),
      appending: Promise.resolve(),
    };
    this.partitions.set(key, created);
    return created;
  }

  store(partition, contents, isKeyed) {
    contents.forEach((content) => {
      const offset = partition.end;
      partition.records.push({ content, at: Date.now() });
      partition.end += 1;
      if (!isKeyed) return;
      const keyEnd = 1 + content[0];
      const key = content.toString('utf8', 1, keyEnd);
      if (content.length === keyEnd) partition.newest.delete(key);
      else partition.newest.set(key, { offset, value: content.subarray(keyEnd) });
    });
  }

  /** Drops the history that is older than the retention. The newest record of each key stays. */
  expire(partition) {
    const oldest = Date.now() - this.historyMs;
    while (partition.records.length > 0 && partition.records[0].at < oldest) {
      partition.records.shift();
      partition.first += 1;
    }
  }
}

function producerState(partition, producer) {
  const known = partition.producers.get(producer);
  if (known !== undefined) return known;
  const created = { epoch: 0, next: undefined, receipts: new Map() };
  partition.producers.set(producer, created);
  return created;
}

function encodeKeyed(key, value) {
  const keyBytes = buffer.Buffer.from(key);
  return buffer.Buffer.concat([buffer.Buffer.from([keyBytes.length]), keyBytes, value]);
}

function decodeRecords(body) {
  const contents = [];
  let position = 0;
  while (position < body.length) {
    const start = position + LENGTH_BYTES;
    position = start + body.readUInt32BE(position);
    contents.push(body.subarray(start, position));
  }
  return contents;
}

function json(status, content) {
  return { status, body: buffer.Buffer.from(JSON.stringify(content)) };
}

function sleep(milliseconds) {
  return new Promise((resolve) => {
    timers.setTimeout(resolve, milliseconds);
  });
}
