import type * as lifetime from '@limpettack/lifetime';

/**
 * A signal that aborts as soon as one of its sources aborts. Disposing of it removes its listeners
 * from the sources, some of which live as long as the process.
 */
export class LinkedSignal implements lifetime.Disposable {
  private readonly controller = new AbortController();

  private readonly abort = (): void => this.controller.abort();

  public constructor(private readonly sources: readonly AbortSignal[]) {
    sources.forEach((source) => {
      if (source.aborted) this.abort();
      source.addEventListener('abort', this.abort, { once: true });
    });
  }

  /** The signal that aborts as soon as one of the sources aborts. */
  public get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** @inheritdoc */
  public dispose(): void {
    this.sources.forEach((source) => source.removeEventListener('abort', this.abort));
  }
}
