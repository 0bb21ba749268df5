/** A session with the debugger port of a VM process that was started with `INSPECTED`. */
import * as testKit from '@limpettack/test-kit';
import * as ws from 'ws';

/** Environment of VM processes that can be inspected. */
export const INSPECTED = { NODE_OPTIONS: '--inspect=127.0.0.1:0' };

const URL_PATTERN = /Debugger listening on (ws:\S+)/;
const MEMORY_EXPRESSION =
  '(() => { const { heapUsed, external } = process.memoryUsage(); return heapUsed + external; })()';

/** Sends commands of the debugger's protocol to one process. */
export class Inspector {
  constructor(socket) {
    this.socket = socket;
    this.waiting = new Map();
    this.nextId = 0;
    socket.on('message', (data) => {
      const { id, result } = JSON.parse(String(data));
      this.waiting.get(id)?.(result);
      this.waiting.delete(id);
    });
  }

  /** Opens a session with the process of a VM. */
  static async open(vm) {
    const url = await testKit.waitFor(() => URL_PATTERN.exec(vm.process.output)?.[1], {
      what: 'the port of the debugger',
    });
    const socket = new ws.WebSocket(url, { perMessageDeflate: false });
    await new Promise((resolve, reject) => {
      socket.once('open', resolve);
      socket.once('error', reject);
    });
    return new Inspector(socket);
  }

  /** Sends a command and returns its result. */
  send(method, parameters = {}) {
    this.nextId += 1;
    const id = this.nextId;
    return new Promise((resolve) => {
      this.waiting.set(id, resolve);
      this.socket.send(JSON.stringify({ id, method, params: parameters }));
    });
  }

  /** Memory in bytes that is still reachable after a garbage collection. */
  async reachableBytes() {
    await this.send('HeapProfiler.collectGarbage');
    const answer = await this.send('Runtime.evaluate', { expression: MEMORY_EXPRESSION });
    return answer.result.value;
  }

  /** Ends the session. */
  close() {
    this.socket.terminate();
  }
}
