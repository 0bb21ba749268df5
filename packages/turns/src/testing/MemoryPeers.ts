import * as errors from '@limpettack/errors';
import * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';

type Handler = wire.RequestHandler<unknown, unknown>;

/** Links between processes in memory, with faults. The address of a process is its name. */
export class MemoryPeers {
  /** Addresses that nobody reaches. */
  public readonly cut = new Set<string>();

  /** Names of methods that processes of an earlier release do not serve, by their address. */
  public readonly unserved = new Map<string, string>();

  /** Names of the methods of all requests that were sent, in their order. */
  public readonly sent: string[] = [];

  private readonly handlers = new Map<string, Map<string, Handler>>();

  /** The network as one process sees it; a later process of that name takes its address. */
  public connect(name: string): wire.PeerNetwork {
    const own = new Map<string, Handler>();
    this.handlers.set(name, own);
    const self = { name, incarnation: '1', address: name, failureDomain: 'a' };
    const serve = (method: { readonly name: string }, handler: Handler) => {
      own.set(method.name, handler);
      return { dispose: () => own.delete(method.name) };
    };
    const request = (
      address: string,
      method: wire.PeerMethod<unknown, unknown>,
      message: unknown,
    ): Promise<wire.PeerResult<unknown>> => this.deliver(self, address, method, message);
    return { self, serve, request, dispose: () => undefined } as unknown as wire.PeerNetwork;
  }

  private async deliver(
    from: wire.PeerIdentity,
    address: string,
    method: wire.PeerMethod<unknown, unknown>,
    message: unknown,
  ): Promise<wire.PeerResult<unknown>> {
    this.sent.push(method.name);
    const handler = this.handlers.get(address)?.get(method.name);
    if (handler === undefined || this.cut.has(address)) {
      const kind = wire.PEER_FAILURES.NOT_SENT;
      return trueMyth.Result.err({ kind, message: `No link to ${address}.` });
    }
    const answer = await this.answer(address, method, handler, structuredClone(message), from);
    if (answer.isOk)
      return trueMyth.Result.ok(method.response.parse(structuredClone(answer.value)));
    const { error } = answer;
    const kind = wire.PEER_FAILURES.REFUSED;
    return trueMyth.Result.err({ kind, message: error.message, fault: error });
  }

  private async answer(
    address: string,
    method: wire.PeerMethod<unknown, unknown>,
    handler: Handler,
    message: unknown,
    from: wire.PeerIdentity,
  ): Promise<trueMyth.Result<unknown, errors.Fault>> {
    if (this.unserved.get(address) === method.name) {
      return trueMyth.Result.err(errors.createFault('shutting-down'));
    }
    return handler(method.request.parse(message), from);
  }
}
