/* eslint import-x/extensions: off, import-x/prefer-default-export: off, no-await-in-loop: off, no-param-reassign: [error, { props: false }], no-restricted-syntax: off, no-use-before-define: [error, { functions: false }] -- as in the benchmarks */
/* global Buffer, clearTimeout, setTimeout */

import * as crypto from 'node:crypto';
import * as http from 'node:http';

const CHANNEL_MS = 15_000;

/** Clients that keep their channels open for many requests. */
export class Clients {
  constructor(vms, record) {
    this.vms = vms;
    this.record = record;
    this.agent = new http.Agent({ keepAlive: true, timeout: CHANNEL_MS });
  }

  /**
   * Sends one client attempt. Resolves with its status (undefined without an answer), header fields
   * and body, and with whether the answer was complete.
   */
  send({ path, vm, deadlineMs, body, leaveAfterMs, headers = {} }) {
    const id = crypto.randomBytes(8).toString('hex');
    const target = vm ?? this.vms[crypto.randomInt(this.vms.length)];
    this.record.note(`${id} sent to ${target.name}`);
    return new Promise((resolve) => {
      const answer = { id, vm: target.name, status: undefined, headers: {}, isComplete: false };
      const chunks = [];
      const request = http.request({
        agent: this.agent,
        host: '127.0.0.1',
        port: target.callersPort,
        method: 'POST',
        path,
        headers: {
          host: 'desk.example',
          'attempt-id': id,
          'deadline-ms': String(deadlineMs),
          'content-length': body.length,
          ...headers,
        },
      });
      let timer;
      const finish = (outcome) => {
        clearTimeout(timer);
        this.record.note(`${id} ${outcome}`);
        resolve({ ...answer, body: Buffer.concat(chunks) });
      };
      const leave = () => {
        request.destroy(new Error('the client has left'));
      };
      timer = setTimeout(leave, leaveAfterMs ?? deadlineMs);
      request.on('error', (error) => finish(`ended without an answer: ${error.message}`));
      request.on('response', (response) => {
        Object.assign(answer, { status: response.statusCode, headers: response.headers });
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('error', () => undefined);
        response.on('close', () => {
          answer.isComplete = response.complete;
          finish(`answered ${answer.status}, ${answer.isComplete ? 'complete' : 'broken off'}`);
        });
      });
      request.end(body);
    });
  }

  close() {
    this.agent.destroy();
  }
}

/** Calls `send` at random moments, `perSecond` times a second on average, for a while. */
export async function sendAtRandom(perSecond, durationMs, send) {
  const pending = [];
  const end = Date.now() + durationMs;
  let next = Date.now();
  while (next < end) {
    const wait = next - Date.now();
    if (wait > 0) {
      await new Promise((resolve) => {
        setTimeout(resolve, wait);
      });
    }
    pending.push(send());
    next += (-Math.log(1 - Math.random()) * 1_000) / perSecond;
  }
  return Promise.all(pending);
}
