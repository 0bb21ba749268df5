import * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';

type Handler = wire.RequestHandler<unknown, unknown>;

/** Peers in one process; each has its own network object. */
export class FakeNetwork {
  private readonly handlers = new Map<string, Handler>();

  /** Addresses that nobody reaches. */
  public readonly unreachable = new Set<string>();

  /** The network as the peer at an address sees it. */
  public createPeer(address: string): wire.PeerNetwork {
    const self = { name: address, incarnation: '1', address, failureDomain: 'cumbaya' };
    const notSent = { kind: wire.PEER_FAILURES.NOT_SENT, message: 'unreachable' };
    return {
      self,
      request: async (to, method, request) => {
        const handler = this.handlers.get(`${to} ${method.name}`);
        const isCut = this.unreachable.has(to) || this.unreachable.has(address);
        if (!handler || isCut) return trueMyth.Result.err(notSent);
        const response = await handler(method.request.parse(request), self);
        return response
          .map((value) => method.response.parse(value))
          .mapErr((fault) => ({ kind: wire.PEER_FAILURES.REFUSED, message: fault.message, fault }));
      },
      serve: (method, handler) => {
        const key = `${address} ${method.name}`;
        this.handlers.set(key, handler as unknown as Handler);
        return {
          dispose: () => {
            this.handlers.delete(key);
          },
        };
      },
      openStream: async () => trueMyth.Result.err(notSent),
      serveStream: () => ({ dispose: () => undefined }),
      dispose: () => undefined,
    };
  }
}
