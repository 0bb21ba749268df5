import type * as lifetime from '@limpettack/lifetime';
import type * as cac from 'cac';

/** A server that a binary runs. */
export interface RunnableServer extends lifetime.Disposable {
  start(): Promise<void>;
}

const EXIT_INVALID_USE = 2;

/** Runs a command line and prints what is wrong with it in one line. */
export async function runCommand(command: cac.CAC): Promise<void> {
  try {
    command.parse(process.argv, { run: false });
    await command.runMatchedCommand();
  } catch (error) {
    process.stderr.write(`${(error as Error).message}\n`);
    process.exit(EXIT_INVALID_USE);
  }
}

/** Starts a server, prints one JSON line that says where it listens, and ends with SIGTERM. */
export async function runServer<Server extends RunnableServer>(
  server: Server,
  describe: (server: Server) => Readonly<Record<string, string>>,
): Promise<void> {
  await server.start();
  process.stdout.write(`${JSON.stringify(describe(server))}\n`);
  const stop = (): void => {
    Promise.resolve(server.dispose()).then(
      () => process.exit(0),
      () => process.exit(1),
    );
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
}
