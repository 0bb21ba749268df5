import type { AnswerHandler, Target, TargetRequest, TargetTransport } from '../Types.js';

/** What one request to a target is answered with. */
export type Script = (handler: AnswerHandler) => void;

/** A transport whose targets answer as scripted, one script a request in turn. */
export class ScriptedTransport implements TargetTransport {
  public readonly sent: { readonly target: string; readonly request: TargetRequest }[] = [];

  public aborted = 0;

  public constructor(private readonly scripts: Script[]) {}

  /** @inheritdoc */
  public send(target: Target, request: TargetRequest, handler: AnswerHandler): { abort(): void } {
    this.sent.push({ target: target.id, request });
    const script = this.scripts.shift();
    let isAborted = false;
    setImmediate(() => {
      if (!isAborted) script?.(handler);
    });
    return {
      abort: () => {
        isAborted = true;
        this.aborted += 1;
      },
    };
  }
}
