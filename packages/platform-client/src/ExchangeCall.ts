import type * as undici from 'undici';

import * as exchangeMessages from './exchangeMessages.js';
import type { ExchangeOutcome, JsonRequest } from './exchangeMessages.js';

/** One request in progress. Implements the handler that undici calls for its events. */
export class ExchangeCall implements undici.Dispatcher.DispatchHandler {
  /** Resolves when the exchange has ended. It never rejects. */
  public readonly outcome: Promise<ExchangeOutcome>;

  private settle!: (outcome: ExchangeOutcome) => void;

  /** Set just before undici writes the request, so bytes may have been written once it is set. */
  private controller: undici.Dispatcher.DispatchController | undefined;

  private abortReason: string | undefined;

  private status = 0;

  private readonly chunks: Buffer[] = [];

  public constructor() {
    this.outcome = new Promise((resolve) => {
      this.settle = resolve;
    });
  }

  /** Passes the request to a dispatcher. */
  public dispatch(dispatcher: undici.Dispatcher, request: JsonRequest): void {
    try {
      dispatcher.dispatch(
        {
          method: request.method,
          path: request.path,
          headers: { 'content-type': 'application/json' },
          body: request.body === undefined ? null : JSON.stringify(request.body),
        },
        this,
      );
    } catch (error) {
      this.fail(String(error));
    }
  }

  /** Aborts the exchange and destroys its connection. A request not yet written never will be. */
  public abort(reason: string): void {
    this.abortReason = reason;
    this.controller?.abort(new Error(reason));
    this.fail(reason);
  }

  /** Called just before undici writes the first byte. */
  public onRequestStart(controller: undici.Dispatcher.DispatchController): void {
    if (this.abortReason !== undefined) {
      // undici does not write a request that is aborted here.
      controller.abort(new Error(this.abortReason));
      return;
    }
    this.controller = controller;
  }

  /** Called with the status code and the header fields. */
  public onResponseStart(
    _controller: undici.Dispatcher.DispatchController,
    statusCode: number,
  ): void {
    this.status = statusCode;
  }

  /** Called with each chunk of the body. */
  public onResponseData(_controller: undici.Dispatcher.DispatchController, chunk: Buffer): void {
    this.chunks.push(chunk);
  }

  /** Called when the response is complete. */
  public onResponseEnd(): void {
    const body = Buffer.concat(this.chunks).toString('utf8');
    this.settle({ end: exchangeMessages.EXCHANGE_ENDS.ANSWERED, status: this.status, body });
  }

  /** Called when the exchange fails at any point. */
  public onResponseError(_controller: unknown, error: Error): void {
    this.fail(error.message);
  }

  private fail(message: string): void {
    const isWritten = this.controller !== undefined;
    const end = isWritten
      ? exchangeMessages.EXCHANGE_ENDS.BROKEN
      : exchangeMessages.EXCHANGE_ENDS.NOT_WRITTEN;
    this.settle({ end, message });
  }
}
