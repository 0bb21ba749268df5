/** Connects to the debugger port of a VM process that was started with `INSPECTED`. */
import * as testKit from '@limpettack/test-kit';
import * as ws from 'ws';

/** Environment that makes a VM process open a debugger port. */
export const INSPECTED = { NODE_OPTIONS: '--inspect=127.0.0.1:0' };

const URL_PATTERN = /Debugger listening on (ws:\S+)/;
const MEMORY_EXPRESSION =
  '(() => { const { heapUsed, external } = process.memoryUsage(); return heapUsed + external; })()';

/** Sends commands of the Chrome DevTools protocol to one process. */
export class Inspector {
  constructor(socket) {
    this.socket = socket;
    this.pending = new Map();
    this.nextId = 0;
    socket.on('message', (data) => {
      const { id, result } = JSON.parse(String(data));
      this.pending.get(id)?.(result);
      this.pending.delete(id);
    });
  }

  /** Connects to the process of a VM. */
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
      this.pending.set(id, resolve);
      this.socket.send(JSON.stringify({ id, method, params: parameters }));
    });
  }

  /** Returns the memory in bytes that is still reachable after a garbage collection. */
  async reachableBytes() {
    await this.send('HeapProfiler.collectGarbage');
    const response = await this.send('Runtime.evaluate', { expression: MEMORY_EXPRESSION });
    return response.result.value;
  }

  /** Closes the connection. */
  close() {
    this.socket.terminate();
  }
}
