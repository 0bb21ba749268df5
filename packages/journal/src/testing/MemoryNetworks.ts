import type * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';

const { err } = trueMyth.Result;

type Handler = wire.RequestHandler<unknown, unknown>;

/** Links between processes in memory. */
export class MemoryNetworks {
  /** Names of processes that neither send nor receive. */
  public readonly cut = new Set<string>();

  private readonly handlers = new Map<string, Map<string, Handler>>();

  /** The network as one process sees it. */
  public connect(self: wire.PeerIdentity): wire.PeerNetwork {
    const own = new Map<string, Handler>();
    this.handlers.set(self.address, own);
    const request = async (address: string, method: { name: string }, message: unknown) => {
      await Promise.resolve();
      const handler = this.handlers.get(address)?.get(method.name);
      const isCut = this.cut.has(self.name) || [...this.cut].some((name) => address === name);
      if (isCut || handler === undefined) return err({ kind: 'not-sent', message: 'cut' });
      const answer = await handler(structuredClone(message), self);
      if (answer.isOk) return answer;
      return err({ kind: 'refused', message: answer.error.message, fault: answer.error });
    };
    const serve = (method: { name: string }, handler: Handler) => {
      own.set(method.name, handler);
      return { dispose: () => own.delete(method.name) };
    };
    const network = { self, request, serve, dispose: () => this.handlers.delete(self.address) };
    return network as unknown as wire.PeerNetwork;
  }
}
