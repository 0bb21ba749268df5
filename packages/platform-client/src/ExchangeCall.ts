import type * as undici from 'undici';

import * as exchangeMessages from './exchangeMessages.js';
import type { ExchangeOutcome, JsonRequest } from './exchangeMessages.js';

/** One request on its way. The library calls its handler functions. */
export class ExchangeCall implements undici.Dispatcher.DispatchHandler {
  public readonly outcome: Promise<ExchangeOutcome>;

  private settle!: (outcome: ExchangeOutcome) => void;

  private controller: undici.Dispatcher.DispatchController | undefined;

  private abandonedFor: string | undefined;

  private status = 0;

  private readonly chunks: Buffer[] = [];

  public constructor() {
    this.outcome = new Promise((resolve) => {
      this.settle = resolve;
    });
  }

  /** Hands the request to a dispatcher. */
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

  /** Gives the call up: its connection is destroyed, or it is never written. */
  public abandon(reason: string): void {
    this.abandonedFor = reason;
    this.controller?.abort(new Error(reason));
    this.fail(reason);
  }

  /** Called just before the first byte is written. */
  public onRequestStart(controller: undici.Dispatcher.DispatchController): void {
    if (this.abandonedFor !== undefined) {
      // The library does not write a request that is aborted here.
      controller.abort(new Error(this.abandonedFor));
      return;
    }
    this.controller = controller;
  }

  /** Called with the status line and the header fields. */
  public onResponseStart(
    _controller: undici.Dispatcher.DispatchController,
    statusCode: number,
  ): void {
    this.status = statusCode;
  }

  /** Called with each piece of the body. */
  public onResponseData(_controller: undici.Dispatcher.DispatchController, chunk: Buffer): void {
    this.chunks.push(chunk);
  }

  /** Called when the answer is whole. */
  public onResponseEnd(): void {
    const body = Buffer.concat(this.chunks).toString('utf8');
    this.settle({ end: exchangeMessages.EXCHANGE_ENDS.ANSWERED, status: this.status, body });
  }

  /** Called when the exchange has failed at any point. */
  public onResponseError(_controller: unknown, error: Error): void {
    this.fail(error.message);
  }

  private fail(message: string): void {
    const written = this.controller !== undefined;
    const end = written
      ? exchangeMessages.EXCHANGE_ENDS.BROKEN
      : exchangeMessages.EXCHANGE_ENDS.NOT_WRITTEN;
    this.settle({ end, message });
  }
}
