import * as errors from '@limpettack/errors';
import * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';

type Handler = wire.RequestHandler<unknown, unknown>;

/** A network of processes in memory, with faults. The address of a process is its name. */
export class MemoryPeers {
  /** Addresses that no process can reach. */
  public readonly unreachable = new Set<string>();

  /** Links that have failed, written `from>to`. */
  public readonly cutLinks = new Set<string>();

  /** Methods that processes of an earlier release do not serve, by the address of the process. */
  public readonly unserved = new Map<string, string>();

  /** The method names of all sent requests, in order. */
  public readonly sent: string[] = [];

  private readonly handlers = new Map<string, Map<string, Handler>>();

  private connectionCount = 0;

  /**
   * Returns the network of one process. A later process of the same name takes over its address.
   */
  public connect(name: string): wire.PeerNetwork {
    const ownHandlers = new Map<string, Handler>();
    this.handlers.set(name, ownHandlers);
    this.connectionCount += 1;
    const incarnation = String(this.connectionCount);
    const self = { name, incarnation, address: name, failureDomain: 'a' };
    const serve = (method: { readonly name: string }, handler: Handler) => {
      ownHandlers.set(method.name, handler);
      return { dispose: () => ownHandlers.delete(method.name) };
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
    const isCut = this.unreachable.has(address) || this.cutLinks.has(`${from.address}>${address}`);
    if (handler === undefined || isCut) {
      const kind = wire.PEER_FAILURES.NOT_SENT;
      return trueMyth.Result.err({ kind, message: `No link to ${address}.` });
    }
    const response = await this.answer(address, method, handler, structuredClone(message), from);
    if (response.isOk)
      return trueMyth.Result.ok(method.response.parse(structuredClone(response.value)));
    const { error } = response;
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
