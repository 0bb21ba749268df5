import * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';

type Handler = wire.RequestHandler<unknown, unknown>;

/** In-memory network of several peers, each with its own `PeerNetwork`. */
export class FakeNetwork {
  private readonly handlers = new Map<string, Handler>();

  /** Addresses that cannot be reached and cannot reach others. */
  public readonly unreachable = new Set<string>();

  /** Creates the network of the peer at an address. */
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
