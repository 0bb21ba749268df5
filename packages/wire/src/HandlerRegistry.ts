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

/** Finds and calls the handler of each request and stream. No handler's failure gets out. */
export class HandlerRegistry {
  private readonly requestHandlers = new Map<string, UntypedRequestHandler>();

  private readonly streamHandlers = new Map<string, UntypedStreamHandler>();

  public constructor(private readonly logger: logging.Logger) {}

  /** Registers the handler of a request. */
  public serve<Request, Response>(
    method: PeerMethod<Request, Response>,
    handler: RequestHandler<Request, Response>,
  ): lifetime.Disposable {
    this.requestHandlers.set(method.name, async (body, from) => {
      const checked = method.request.safeParse(body);
      if (!checked.success) return trueMyth.Result.err(malformed(method.name));
      return handler(checked.data, from);
    });
    return { dispose: () => this.forget(this.requestHandlers, method.name) };
  }

  /** Registers the handler of a stream. */
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
    return { dispose: () => this.forget(this.streamHandlers, kind.name) };
  }

  /** Answers a request. */
  public async answer(
    name: string,
    body: unknown,
    from: PeerIdentity,
  ): Promise<trueMyth.Result<unknown, errors.Fault>> {
    const handler = this.requestHandlers.get(name);
    if (handler === undefined) {
      // A process that starts or ends serves only some of its methods.
      return trueMyth.Result.err(errors.createFault('shutting-down', `Nobody serves ${name}.`));
    }
    try {
      return await handler(body, from);
    } catch (error) {
      this.logger.error('A handler of a request failed.', { kind: name, reason: String(error) });
      return trueMyth.Result.err(errors.createFault('internal'));
    }
  }

  /** Runs a stream to its end; false when nothing serves it. */
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
      this.logger.error('A handler of a stream failed.', { kind: name, reason: String(error) });
      return false;
    }
  }

  private forget(handlers: Map<string, unknown>, name: string): void {
    handlers.delete(name);
  }
}

function malformed(name: string): errors.Fault {
  return errors.createFault('bad-request', `The body of ${name} is malformed.`);
}
