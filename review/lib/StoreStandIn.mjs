/* eslint import-x/extensions: off, import-x/prefer-default-export: off, no-await-in-loop: off, no-param-reassign: [error, { props: false }], no-restricted-syntax: off, no-use-before-define: [error, { functions: false }] -- as in the benchmarks */
/* global Buffer, URL, setTimeout */

import * as http from 'node:http';

const WAIT_STEP_MS = 10;
const LENGTH_BYTES = 4;
const OFFSET_BYTES = 8;
const REMEMBERED_APPENDS = 5;
const PAGE_KEYS = 500;
const PAGE_BYTES = 1_048_576;
const BYTES_PER_KILOBYTE = 1_024;
const ANSWER_MS = 4;

/** Records that are not the newest of their key expire after this time. */
const HISTORY_MS = 20_000;

/** The store rejects appends when it holds this many bytes in total. */
export const CAPACITY_BYTES = 400_000_000;

function pause(milliseconds) {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

/** The platform's store: a log of keyed topics, served as PROTOCOL.md describes it. */
export class StoreStandIn {
  constructor() {
    this.partitions = new Map();
    this.storedBytes = 0;
    /** Whether the store is down: it accepts calls and never answers them. */
    this.isDown = false;
    this.server = http.createServer((request, response) => {
      this.answer(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 60_000;
  }

  async listen() {
    await new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${this.server.address().port}`;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes a record as the operator or a runner does. A missing value removes the key. */
  write(topic, key, value) {
    if (this.isDown) return;
    const bytes = value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
    this.add(this.partition(topic, 0), { key, value: bytes });
  }

  partition(topic, part) {
    const name = `${topic}/${part}`;
    const known = this.partitions.get(name);
    if (known !== undefined) return known;
    const created = { records: [], first: 0, latest: new Map(), producers: new Map() };
    this.partitions.set(name, created);
    return created;
  }

  add(partition, { key, value }) {
    const { first, latest, records } = partition;
    const former = latest.get(key);
    if (former !== undefined && former < first) this.drop(records[former]);
    latest.set(key, records.length);
    records.push({ key, value, at: Date.now() });
    this.storedBytes += value.length;
  }

  drop(record) {
    this.storedBytes -= record.value.length;
    record.value = Buffer.alloc(0);
  }

  /** Drops the history that is too old. The newest record of each key is retained. */
  expire(partition) {
    const { latest, records } = partition;
    const oldest = Date.now() - HISTORY_MS;
    while (partition.first < records.length && records[partition.first].at < oldest) {
      const record = records[partition.first];
      const isLatest = latest.get(record.key) === partition.first;
      if (!isLatest) this.drop(record);
      else if (record.value.length === 0) latest.delete(record.key);
      partition.first += 1;
    }
  }

  async answer(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    if (this.isDown) return;
    const url = new URL(request.url, 'http://store');
    const partition = this.partition(
      url.searchParams.get('Topic'),
      Number(url.searchParams.get('part')),
    );
    await pause(ANSWER_MS);
    this.partitions.forEach((known) => this.expire(known));
    if (url.pathname === '/v1/log-append') {
      sendJson(response, append(this, partition, url.searchParams, Buffer.concat(chunks)));
    } else if (url.pathname === '/v1/log-newest') {
      sendJson(response, newest(partition, url.searchParams.get('after') ?? undefined));
    } else if (url.pathname === '/v1/log-read') {
      await read(partition, url.searchParams, response, () => this.isDown);
    } else {
      sendJson(response, { status: 404, body: {} });
    }
  }
}

function sendJson(response, { status, body }) {
  const bytes = Buffer.from(JSON.stringify(body));
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': bytes.length,
  });
  response.end(bytes);
}

function append(store, partition, query, body) {
  const producer = query.get('Producer');
  const sequence = Number(query.get('Seq'));
  const epoch = Number(query.get('epoch') ?? 0);
  const seen = producer === null ? undefined : partition.producers.get(producer);
  if (seen !== undefined && seen.epoch === epoch) {
    const repeated = seen.appends.find((entry) => entry.sequence === sequence);
    if (repeated !== undefined) return repeated.answer;
    if (sequence !== seen.next) return { status: 409, body: { why: 'seq', Seq: seen.next } };
  } else if (seen !== undefined && epoch < seen.epoch) {
    return { status: 409, body: { why: 'fenced' } };
  }
  const at = query.get('At');
  const end = partition.records.length;
  if (at !== null && Number(at) !== end) return { status: 412, body: { EndOffset: end } };
  if (store.storedBytes + body.length > CAPACITY_BYTES) return { status: 507, body: {} };
  decodeRecords(body).forEach((record) => store.add(partition, record));
  const answer = { status: 200, body: { Offset: end, EndOffset: partition.records.length } };
  if (producer !== null) {
    const earlier = seen !== undefined && seen.epoch === epoch ? seen.appends : [];
    const appends = [...earlier, { sequence, answer }].slice(-REMEMBERED_APPENDS);
    partition.producers.set(producer, { epoch, next: sequence + 1, appends });
  }
  return answer;
}

function decodeRecords(body) {
  const records = [];
  let position = 0;
  while (position < body.length) {
    const start = position + LENGTH_BYTES;
    const end = start + body.readUInt32BE(position);
    const keyLength = body[start];
    const valueStart = start + 1 + keyLength;
    records.push({
      key: body.toString('utf8', start + 1, valueStart),
      value: body.subarray(valueStart, end),
    });
    position = end;
  }
  return records;
}

function newest(partition, after) {
  const { latest, records } = partition;
  const all = [...latest]
    .filter(([, offset]) => records[offset].value.length > 0)
    .filter(([key]) => after === undefined || key > after)
    .sort(([left], [right]) => (left < right ? -1 : 1));
  const items = [];
  let bytes = 0;
  all.every(([key, offset]) => {
    const { value } = records[offset];
    if (items.length > 0 && (items.length >= PAGE_KEYS || bytes + value.length > PAGE_BYTES))
      return false;
    bytes += value.length;
    items.push({ Key: key, Value: value.toString('base64'), Offset: offset });
    return true;
  });
  return {
    status: 200,
    body: { items, More: items.length < all.length, EndOffset: partition.records.length },
  };
}

async function read(partition, query, response, isDown) {
  const from = Number(query.get('From'));
  const maximumBytes = Number(query.get('MaxSize') ?? BYTES_PER_KILOBYTE) * BYTES_PER_KILOBYTE;
  const deadline = Date.now() + Number(query.get('WaitMs') ?? 0);
  while (partition.records.length <= from && Date.now() < deadline && !response.destroyed) {
    await pause(WAIT_STEP_MS);
  }
  if (isDown()) return;
  if (from < partition.first) {
    sendJson(response, { status: 410, body: { First: partition.first } });
    return;
  }
  const head = Buffer.alloc(2 * OFFSET_BYTES);
  head.writeBigUInt64BE(BigInt(partition.records.length), 0);
  head.writeBigUInt64BE(BigInt(partition.first), OFFSET_BYTES);
  const parts = [head];
  let size = 0;
  partition.records.slice(from).every(({ key, value }) => {
    const keyBytes = Buffer.from(key);
    const start = Buffer.alloc(LENGTH_BYTES + 1);
    start.writeUInt32BE(1 + keyBytes.length + value.length, 0);
    start.writeUInt8(keyBytes.length, LENGTH_BYTES);
    const recordBytes = start.length + keyBytes.length + value.length;
    if (size > 0 && size + recordBytes > maximumBytes) return false;
    size += recordBytes;
    parts.push(start, keyBytes, value);
    return true;
  });
  const bytes = Buffer.concat(parts);
  response.writeHead(200, { 'content-length': bytes.length });
  response.end(bytes);
}
