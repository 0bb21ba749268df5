import type * as net from 'node:net';
import type * as clockTypes from '@limpettack/clock';
import type * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';

/** Pause between two attempts to listen on an address that is not free. */
const RETRY_MS = 100;

/** Interval at which a listener that still waits for its address is logged again. */
const REPEATED_LOG_MS = 10_000;

/** Dependencies of a server's listener. */
export interface ServerListenerOptions {
  readonly server: net.Server;
  readonly clock: clockTypes.Clock;
  readonly logger: logging.Logger;
}

/** The address of a server. Port 0 stands for any free port. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
  /** Maximum number of connections that wait to be accepted. */
  readonly backlog?: number;
}

/** Lets a server listen as soon as its address is free, and owns the later errors of the server. */
export class ServerListener implements lifetime.Disposable {
  private readonly disposal = new AbortController();

  public constructor(private readonly options: ServerListenerOptions) {
    const { logger, server } = options;
    server.on('error', (error) => {
      if (server.listening) logger.error('A server failed.', { reason: error.message });
    });
  }

  /**
   * Starts to listen, and retries after each error of the system, such as a port that is taken, an
   * address that the machine does not have yet, or too many open files. Resolves with the port;
   * rejects if the address is invalid or the listener is disposed of before.
   */
  public async listen(address: ListenAddress): Promise<number> {
    const { clock, logger, server } = this.options;
    const { signal } = this.disposal;
    const startedAt = clock.now();
    let loggedAt: clockTypes.Milliseconds | undefined;
    while (!signal.aborted) {
      const error = await this.tryToListen(address);
      const now = clock.now();
      const spanMs = Math.round(now - startedAt);
      if (error === undefined && !signal.aborted) {
        if (loggedAt !== undefined) logger.info('A server listens after retries.', { spanMs });
        return (server.address() as net.AddressInfo).port;
      }
      if (error !== undefined && (loggedAt === undefined || now - loggedAt >= REPEATED_LOG_MS)) {
        loggedAt = now;
        logger.warn('A server cannot listen yet and retries.', { reason: error.message, spanMs });
      }
      await clock.sleep(RETRY_MS, signal);
    }
    // A listener that was disposed of during an attempt may have opened its port.
    if (server.listening) server.close();
    throw new Error('The server was closed before it could listen.');
  }

  /** Ends the attempts to listen. The server itself is closed by its owner. */
  public dispose(): void {
    this.disposal.abort();
  }

  private tryToListen(address: ListenAddress): Promise<Error | undefined> {
    const { server } = this.options;
    return new Promise((resolve) => {
      const finish = (error?: Error): void => {
        server.off('listening', finish);
        server.off('error', finish);
        resolve(error);
      };
      server.on('listening', finish);
      server.on('error', finish);
      server.listen(address);
    });
  }
}
