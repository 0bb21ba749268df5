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
    const whileWanted =
      <Value extends unknown[]>(step: (...values: Value) => void) =>
      (...values: Value): void => {
        if (!isAborted) step(...values);
      };
    const heard: AnswerHandler = {
      onHead: whileWanted((head) => handler.onHead(head)),
      onData: whileWanted((chunk) => handler.onData(chunk)),
      onEnd: whileWanted(() => handler.onEnd()),
      onFailure: whileWanted((failure) => handler.onFailure(failure)),
    };
    setImmediate(() => {
      if (!isAborted) script?.(heard);
    });
    return {
      abort: () => {
        isAborted = true;
        this.aborted += 1;
      },
    };
  }
}
