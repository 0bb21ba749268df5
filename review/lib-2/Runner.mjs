/* The rules that eslint.config.mjs has for the scripts under benchmarks/ hold here too: */
/* eslint import-x/extensions: 'off', import-x/prefer-default-export: 'off', no-await-in-loop: 'off',
   class-methods-use-this: 'off', no-restricted-syntax: 'off',
   no-param-reassign: ['error', { props: false }], no-use-before-define: ['error', { functions: false }] */
import * as buffer from 'node:buffer';
import * as timers from 'node:timers';
import * as http from 'node:http';

const HEARTBEAT_MS = 1_200;

/**
 * A stand-in for a runner: answers as PROTOCOL.md says and records what it runs. It writes its entry to
 * the store at each heartbeat.
 */
export class Runner {
  /** @param handle Answers a request that the runner has begun to run. */
  constructor({ id, service, zone, store, handle, record }) {
    Object.assign(this, { id, service, zone, store, handle, record });
    this.sequence = 0;
    this.born = Date.now();
    this.server = this.createServer();
  }

  createServer() {
    const server = http.createServer((request, response) => {
      this.answer(request, response).catch(() => response.destroy());
    });
    server.keepAliveTimeout = 30_000;
    return server;
  }

  async start(port = 0) {
    await new Promise((resolve) => {
      this.server.listen(port, '127.0.0.1', resolve);
    });
    this.port = this.server.address().port;
    this.sequence = 0;
    this.announce();
    this.timer = timers.setInterval(() => this.announce(), HEARTBEAT_MS);
  }

  announce() {
    this.sequence += 1;
    this.store.write('keyed.servers', this.id, {
      Service: this.service,
      Address: `127.0.0.1:${this.port}`,
      Zone: this.zone,
      Version: '1',
      Slots: 24,
      State: 'ready',
      ColdLeftMs: 0,
      Seq: this.sequence,
      born: this.born,
    });
  }

  /** Ends as a process that crashes, and starts again under the same id after some time. */
  crash(downMs) {
    const { port } = this;
    this.stop();
    timers.setTimeout(() => {
      this.born = Date.now();
      this.server = this.createServer();
      this.start(port).catch(() => undefined);
    }, downMs);
  }

  stop() {
    timers.clearInterval(this.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  async answer(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const attempt = request.headers['attempt-id'] ?? '';
    if (request.headers['target-instance'] !== this.id) {
      response.writeHead(421, { 'Attempt-Id': attempt, 'Not-Executed': '1' }).end();
      return;
    }
    const body = buffer.Buffer.concat(chunks);
    this.record(`${this.id} runs ${attempt}: ${body.toString().replaceAll('\n', '|')}`);
    await this.handle({ attempt, body, request, response, runner: this });
  }
}

/** Answers with a stream of events, each of which holds its text. */
export function createStreamHandler(events, intervalMs = 20) {
  return async ({ attempt, response, runner }) => {
    response.writeHead(200, {
      'Attempt-Id': attempt,
      'Server-Seal': `seal.${runner.id}`,
      'Content-Type': 'text/event-stream',
    });
    for (let index = 0; index < events; index += 1) {
      response.write(`id: ${index}\ndata: ${attempt} piece ${index}\n\n`);
      await new Promise((resolve) => {
        timers.setTimeout(resolve, intervalMs);
      });
    }
    response.end();
  };
}
