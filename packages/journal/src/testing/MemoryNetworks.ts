import * as clock from '@limpettack/clock';
import type * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';
import type * as processPauses from './ProcessPauses.js';

const { err } = trueMyth.Result;

const systemClock = new clock.SystemClock();

type Handler = wire.RequestHandler<unknown, unknown>;

type RequestResult = wire.PeerResult<unknown>;

/** In-memory peer networks of several processes. The address of a process is its name. */
export class MemoryNetworks {
  /** Names of processes that neither send nor receive. */
  public readonly cut = new Set<string>();

  private readonly handlers = new Map<string, Map<string, Handler>>();

  public constructor(private readonly paused: processPauses.ProcessPauses) {}

  /** Creates the network of one process. */
  public connect(self: wire.PeerIdentity): wire.PeerNetwork {
    const own = new Map<string, Handler>();
    this.handlers.set(self.name, own);
    const request = async (
      address: string,
      method: { name: string },
      message: unknown,
      { timeoutMs }: wire.RequestOptions,
    ): Promise<RequestResult> => {
      await this.paused.waitUntilResumed(self.name);
      const handler = this.handlers.get(address)?.get(method.name);
      const isCut = this.cut.has(self.name) || this.cut.has(address);
      if (isCut || handler === undefined) return err({ kind: 'not-sent', message: 'cut' });
      const completed = new AbortController();
      const timeout = systemClock
        .sleep(timeoutMs, completed.signal)
        .then((): RequestResult => err({ kind: 'timed-out', message: 'late' }));
      const result = await Promise.race([
        this.deliver(address, handler, structuredClone(message), self),
        timeout,
      ]);
      completed.abort();
      await this.paused.waitUntilResumed(self.name);
      return this.cut.has(address) ? err({ kind: 'lost', message: 'cut' }) : result;
    };
    const serve = (method: { name: string }, handler: Handler) => {
      own.set(method.name, handler);
      return { dispose: () => own.delete(method.name) };
    };
    const network = { self, request, serve, dispose: () => own.clear() };
    return network as unknown as wire.PeerNetwork;
  }

  private async deliver(
    address: string,
    handler: Handler,
    message: unknown,
    self: wire.PeerIdentity,
  ): Promise<RequestResult> {
    await this.paused.waitUntilResumed(address);
    const result = await handler(message, self);
    await this.paused.waitUntilResumed(address);
    if (result.isOk) return trueMyth.Result.ok(result.value);
    return err({ kind: 'refused', message: result.error.message, fault: result.error });
  }
}
