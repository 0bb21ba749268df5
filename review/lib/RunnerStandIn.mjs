/* eslint import-x/extensions: off, import-x/prefer-default-export: off, no-await-in-loop: off, no-param-reassign: [error, { props: false }], no-restricted-syntax: off, no-use-before-define: [error, { functions: false }] -- as in the benchmarks */
/* global Buffer */

import * as http from 'node:http';

const IDLE_MS = 10_000;

/** A sound runner. `respond` answers a request that it has begun to run. */
export class RunnerStandIn {
  constructor(id, record, respond) {
    Object.assign(this, { id, record, respond });
    /** The ids of the requests that it has run. */
    this.ran = [];
    /** The bodies of these requests, by id. */
    this.bodies = new Map();
    this.server = http.createServer((request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () => this.take(request, Buffer.concat(chunks), response));
    });
    this.server.keepAliveTimeout = IDLE_MS;
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

  take(request, body, response) {
    const attempt = request.headers['attempt-id'];
    if (request.headers['target-instance'] !== this.id) {
      response.writeHead(421, { 'Attempt-Id': attempt, 'Not-Executed': '1' }).end();
      return;
    }
    this.record.note(`${this.id} runs ${attempt}`);
    this.ran.push(attempt);
    this.bodies.set(attempt, body);
    this.respond({ attempt, id: this.id, record: this.record, response });
  }
}
