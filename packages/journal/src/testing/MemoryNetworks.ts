import * as clock from '@limpettack/clock';
import type * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';
import type * as pauses from './Pauses.js';

const { err } = trueMyth.Result;

const systemClock = new clock.SystemClock();

type Handler = wire.RequestHandler<unknown, unknown>;

type Answer = wire.PeerResult<unknown>;

/** Links between processes in memory. The address of a process is its name. */
export class MemoryNetworks {
  /** Names of processes that neither send nor receive. */
  public readonly cut = new Set<string>();

  private readonly handlers = new Map<string, Map<string, Handler>>();

  public constructor(private readonly paused: pauses.Pauses) {}

  /** The network as one process sees it. */
  public connect(self: wire.PeerIdentity): wire.PeerNetwork {
    const own = new Map<string, Handler>();
    this.handlers.set(self.name, own);
    const request = async (
      address: string,
      method: { name: string },
      message: unknown,
      { timeoutMs }: wire.RequestOptions,
    ): Promise<Answer> => {
      await this.paused.pass(self.name);
      const handler = this.handlers.get(address)?.get(method.name);
      const isCut = this.cut.has(self.name) || this.cut.has(address);
      if (isCut || handler === undefined) return err({ kind: 'not-sent', message: 'cut' });
      const answered = new AbortController();
      const tooLate = systemClock
        .sleep(timeoutMs, answered.signal)
        .then((): Answer => err({ kind: 'timed-out', message: 'late' }));
      const answer = await Promise.race([
        this.deliver(address, handler, structuredClone(message), self),
        tooLate,
      ]);
      answered.abort();
      await this.paused.pass(self.name);
      return this.cut.has(address) ? err({ kind: 'lost', message: 'cut' }) : answer;
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
  ): Promise<Answer> {
    await this.paused.pass(address);
    const answer = await handler(message, self);
    await this.paused.pass(address);
    if (answer.isOk) return trueMyth.Result.ok(answer.value);
    return err({ kind: 'refused', message: answer.error.message, fault: answer.error });
  }
}
