import type * as clock from '@limpettack/clock';
import type * as lifetime from '@limpettack/lifetime';
import * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';
import type * as fakeExchange from './FakeExchange.js';

type Handler = wire.RequestHandler<unknown, unknown>;
type Response = wire.PeerResult<unknown>;

/** The peer network of one process, for tests. */
export class FakeNetwork {
  public readonly self: wire.PeerIdentity;

  public constructor(
    private readonly exchange: fakeExchange.FakeExchange,
    private readonly endpoint: fakeExchange.Endpoint,
    private readonly time: clock.Clock,
  ) {
    this.self = endpoint.self;
  }

  public serve(method: { readonly name: string }, handler: Handler): lifetime.Disposable {
    this.endpoint.handlers.set(method.name, handler);
    return { dispose: () => undefined };
  }

  public async request(
    address: string,
    method: wire.PeerMethod<unknown, unknown>,
    request: unknown,
    options: wire.RequestOptions,
  ): Promise<Response> {
    if (address === this.self.address) return this.callHandler(this.endpoint, method, request);
    const responded = new Promise<Response>((resolve) => {
      this.exchange.send({
        to: () => this.exchange.endpoints.get(address),
        arrive: async (endpoint) => {
          const response = await this.callHandler(endpoint, method, request);
          this.exchange.send({ to: () => this.endpoint, arrive: async () => resolve(response) });
        },
      });
    });
    const kind = wire.PEER_FAILURES.TIMED_OUT;
    const timedOut = this.time
      .sleep(options.timeoutMs)
      .then(() => trueMyth.Result.err<unknown, wire.PeerFailure>({ kind, message: 'late' }));
    return Promise.race([responded, timedOut]);
  }

  private async callHandler(
    endpoint: fakeExchange.Endpoint,
    method: wire.PeerMethod<unknown, unknown>,
    request: unknown,
  ): Promise<Response> {
    const handler = endpoint.handlers.get(method.name)!;
    const result = await handler(method.request.parse(structuredClone(request)), this.self);
    const response = result.map((value) => method.response.parse(structuredClone(value)));
    const kind = wire.PEER_FAILURES.REFUSED;
    return response.mapErr((fault) => ({ kind, message: fault.message, fault }));
  }
}
