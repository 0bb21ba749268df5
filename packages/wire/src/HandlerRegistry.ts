import * as errors from '@limpettack/errors';
import type * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import * as trueMyth from 'true-myth';
import type {
  PeerIdentity,
  PeerMethod,
  PeerStreamKind,
  RequestHandler,
  StreamHandler,
  StreamSink,
} from './Types.js';

type UntypedRequestHandler = (
  body: unknown,
  from: PeerIdentity,
) => Promise<trueMyth.Result<unknown, errors.Fault>>;

type UntypedStreamHandler = (
  body: unknown,
  sink: StreamSink<unknown>,
  from: PeerIdentity,
) => Promise<void>;

/**
 * Finds and calls the handler of each request and stream. Exceptions of handlers are caught and
 * logged.
 */
export class HandlerRegistry {
  private readonly requestHandlers = new Map<string, UntypedRequestHandler>();

  private readonly streamHandlers = new Map<string, UntypedStreamHandler>();

  public constructor(private readonly logger: logging.Logger) {}

  /** Registers the handler of a method. Disposing of the result removes it. */
  public serve<Request, Response>(
    method: PeerMethod<Request, Response>,
    handler: RequestHandler<Request, Response>,
  ): lifetime.Disposable {
    this.requestHandlers.set(method.name, async (body, from) => {
      const checked = method.request.safeParse(body);
      if (!checked.success) return trueMyth.Result.err(malformed(method.name));
      return handler(checked.data, from);
    });
    return { dispose: () => this.unregister(this.requestHandlers, method.name) };
  }

  /** Registers the handler of a kind of stream. Disposing of the result removes it. */
  public serveStream<Open, Item>(
    kind: PeerStreamKind<Open, Item>,
    handler: StreamHandler<Open, Item>,
  ): lifetime.Disposable {
    this.streamHandlers.set(kind.name, async (body, sink, from) => {
      const checked = kind.open.safeParse(body);
      if (!checked.success) {
        this.logger.warn('A peer opened a malformed stream.', { kind: kind.name, peer: from.name });
        return;
      }
      await handler(checked.data, sink, from);
    });
    return { dispose: () => this.unregister(this.streamHandlers, kind.name) };
  }

  /**
   * Calls the handler of a request and resolves with its result. Resolves with a fault if there is
   * no handler or if it throws.
   */
  public async answer(
    name: string,
    body: unknown,
    from: PeerIdentity,
  ): Promise<trueMyth.Result<unknown, errors.Fault>> {
    const handler = this.requestHandlers.get(name);
    if (handler === undefined) {
      // During startup and shutdown a process serves only some of its methods.
      return trueMyth.Result.err(errors.createFault('shutting-down', `Nobody serves ${name}.`));
    }
    try {
      return await handler(body, from);
    } catch (error) {
      this.logger.error('A request handler failed.', { kind: name, reason: String(error) });
      return trueMyth.Result.err(errors.createFault('internal'));
    }
  }

  /** Runs a stream to its end. Resolves with false if it has no handler or the handler failed. */
  public async run(
    name: string,
    body: unknown,
    sink: StreamSink<unknown>,
    from: PeerIdentity,
  ): Promise<boolean> {
    const handler = this.streamHandlers.get(name);
    if (handler === undefined) return false;
    try {
      await handler(body, sink, from);
      return true;
    } catch (error) {
      this.logger.error('A stream handler failed.', { kind: name, reason: String(error) });
      return false;
    }
  }

  private unregister(handlers: Map<string, unknown>, name: string): void {
    handlers.delete(name);
  }
}

function malformed(name: string): errors.Fault {
  return errors.createFault('bad-request', `The body of ${name} is malformed.`);
}
