import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as undici from 'undici';
import * as createAttemptId from './createAttemptId.mjs';

const DEADLINE_MS = 3_000;
const MINIMUM_INPUT_BYTES = 4_000;
const MAXIMUM_INPUT_BYTES = 30_000;
const LARGE_INPUT_BYTES = 100_000;
const LARGE_INPUT_SHARE = 0.005;
const MINIMUM_TURNS = 4;
const MAXIMUM_TURNS = 11;
const EVENTS = 13;
const MINIMUM_EVENT_BYTES = 120;
const MAXIMUM_EVENT_BYTES = 190;
/** Share of the callers that give up early, and the longest time until they do. */
const LEAVING_SHARE = 0.04;
const LEAVING_MS = 300;
const MAXIMUM_PAUSE_MS = 80;
/** Programs beyond this number per VM are not started, as callers do not queue without a limit. */
const MAXIMUM_PROGRAMS_PER_VM = 60;
/** A caller that reads slowly: the events of its stream, and what it reads at which interval. */
const SLOW_EVENTS = 2_000;
const SLOW_EVENT_BYTES = 1_000;
const SLOW_READ_BYTES = 1_024;
const SLOW_READ_INTERVAL_MS = 150;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Sends retained turns at the rate and of the size of the users' sites, whether or not earlier ones
 * have ended. It only counts the outcomes; `ProgramLoad` checks what programs receive.
 */
export class TrafficLoad {
  /** @param turnsPerSecond Rate for each VM. */
  constructor({ fleet, random, turnsPerSecond, verdicts }) {
    Object.assign(this, { fleet, random, turnsPerSecond, verdicts });
    this.rateFactor = 1;
    this.attempts = 0;
    this.programs = 0;
    this.isEnding = false;
  }

  /** Starts programs at random moments. Resolves when the last one has ended. */
  async run() {
    const { fleet, random } = this;
    const meanTurns = (MINIMUM_TURNS + MAXIMUM_TURNS) / 2;
    const running = new Set();
    let next = Date.now();
    while (!this.isEnding) {
      const perSecond = (this.turnsPerSecond * this.rateFactor * fleet.vms.length) / meanTurns;
      next += (-Math.log(1 - random.next()) * MILLISECONDS_PER_SECOND) / perSecond;
      await timers.setTimeout(Math.max(0, next - Date.now()));
      if (running.size < MAXIMUM_PROGRAMS_PER_VM * fleet.vms.length) {
        const program = this.runProgram().finally(() => running.delete(program));
        running.add(program);
      }
    }
    await Promise.all(running);
  }

  /** Multiplies the rate for a while. */
  async burst(factor, durationMs) {
    this.rateFactor = factor;
    await timers.setTimeout(durationMs);
    this.rateFactor = 1;
  }

  /** Opens connections whose callers read long streams slowly, all at one VM. */
  async readSlowly(count, durationMs) {
    const vm = this.random.pick(this.fleet.vms);
    const sockets = Array.from({ length: count }, () => this.openSlowReader(vm));
    const reads = globalThis.setInterval(
      () => sockets.forEach((socket) => socket.read(SLOW_READ_BYTES)),
      SLOW_READ_INTERVAL_MS,
    );
    await timers.setTimeout(durationMs);
    globalThis.clearInterval(reads);
    sockets.forEach((socket) => socket.destroy());
  }

  async runProgram() {
    const { random } = this;
    this.programs += 1;
    const name = `traffic-${this.programs}`;
    const turns = random.integer(MINIMUM_TURNS, MAXIMUM_TURNS);
    const vm = random.pick(this.fleet.vms);
    let previous;
    for (let turn = 0; turn < turns && !this.isEnding; turn += 1) {
      previous = await this.sendTurn(vm, name, previous);
      if (previous === undefined) return;
      await timers.setTimeout(random.between(0, MAXIMUM_PAUSE_MS));
    }
  }

  /** Resolves with the id of the turn if its response was complete. */
  async sendTurn(vm, name, previous) {
    const { random, verdicts } = this;
    const headers = this.createHeaders(name, EVENTS, MINIMUM_EVENT_BYTES, MAXIMUM_EVENT_BYTES);
    if (previous !== undefined) headers['previous-turn'] = previous;
    const isLarge = random.next() < LARGE_INPUT_SHARE;
    const ordinaryBytes = random.integer(MINIMUM_INPUT_BYTES, MAXIMUM_INPUT_BYTES);
    const body = 'i'.repeat(isLarge ? LARGE_INPUT_BYTES : ordinaryBytes);
    const isLeaving = random.next() < LEAVING_SHARE;
    const leaveMs = isLeaving ? random.integer(1, LEAVING_MS) : 2 * DEADLINE_MS;
    const signal = globalThis.AbortSignal.timeout(leaveMs);
    try {
      const url = `http://127.0.0.1:${vm.callersPort}/traffic/x`;
      const response = await undici.request(url, { method: 'POST', body, headers, signal });
      await response.body.text();
      verdicts.count(`traffic: answers with ${response.statusCode}`);
      return response.statusCode === 200 ? headers['attempt-id'] : undefined;
    } catch {
      verdicts.count(`traffic: ${isLeaving ? 'given up early' : 'no complete answer'}`);
      return undefined;
    }
  }

  openSlowReader(vm) {
    const headers = this.createHeaders('slow', SLOW_EVENTS, SLOW_EVENT_BYTES, SLOW_EVENT_BYTES);
    const lines = Object.entries(headers).map(([field, value]) => `${field}: ${value}\r\n`);
    const socket = net.connect({ port: vm.callersPort, host: '127.0.0.1' });
    socket.on('error', () => undefined);
    socket.pause();
    socket.write(`POST /traffic/x HTTP/1.1\r\n${lines.join('')}content-length: 1\r\n\r\ni`);
    return socket;
  }

  createHeaders(name, events, minimumEventBytes, maximumEventBytes) {
    this.attempts += 1;
    return {
      host: 'host.example',
      authorization: 'Bearer key-3',
      'attempt-id': createAttemptId.createAttemptId(`traffic ${this.attempts}`),
      'deadline-ms': String(DEADLINE_MS),
      'program-id': name,
      'session-id': name,
      'token-budget': '1000000000',
      'token-usage': `10,${20 * events}`,
      'event-count': String(events),
      'event-bytes': String(this.random.integer(minimumEventBytes, maximumEventBytes)),
    };
  }
}
