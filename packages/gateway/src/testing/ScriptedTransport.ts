import type {
  Exchange,
  ResponseHandler,
  Target,
  TargetRequest,
  TargetTransport,
} from '../Types.js';

/** The response to one request to a target. */
export type Script = (handler: ResponseHandler) => void;

/** A transport whose targets respond as scripted: one script for each request, in order. */
export class ScriptedTransport implements TargetTransport {
  public readonly sent: { readonly target: string; readonly request: TargetRequest }[] = [];

  public aborted = 0;

  /** How often responses were paused and resumed, in order. */
  public readonly flow: ('pause' | 'resume')[] = [];

  /** The handlers of the responses, for tests that continue a response after its script. */
  public readonly handlers: ResponseHandler[] = [];

  public constructor(private readonly scripts: Script[]) {}

  /** @inheritdoc */
  public send(target: Target, request: TargetRequest, handler: ResponseHandler): Exchange {
    this.sent.push({ target: target.id, request });
    const script = this.scripts.shift();
    let isAborted = false;
    const unlessAborted =
      <Value extends unknown[]>(step: (...values: Value) => void) =>
      (...values: Value): void => {
        if (!isAborted) step(...values);
      };
    const guarded: ResponseHandler = {
      onHead: unlessAborted((head) => handler.onHead(head)),
      onData: unlessAborted((chunk) => handler.onData(chunk)),
      onEnd: unlessAborted(() => handler.onEnd()),
      onFailure: unlessAborted((failure) => handler.onFailure(failure)),
    };
    this.handlers.push(guarded);
    setImmediate(() => {
      if (!isAborted) script?.(guarded);
    });
    return {
      abort: () => {
        isAborted = true;
        this.aborted += 1;
      },
      pause: () => this.flow.push('pause'),
      resume: () => this.flow.push('resume'),
    };
  }
}
