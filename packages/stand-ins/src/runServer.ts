import type * as lifetime from '@limpettack/lifetime';
import type * as cac from 'cac';
import * as zod from 'zod';

/** A server that a command-line program runs. */
export interface RunnableServer extends lifetime.Disposable {
  start(): Promise<void>;
}

const EXIT_INVALID_USE = 2;

/** Runs the command line. Prints the error and exits with 2 when it fails. */
export async function runCommand(command: cac.CAC): Promise<void> {
  try {
    const { options } = command.parse(process.argv, { run: false });
    if (options.help) return;
    if (command.matchedCommand === undefined) throw new Error('Unknown command; see --help.');
    await command.runMatchedCommand();
  } catch (error) {
    process.stderr.write(`${describeError(error)}\n`);
    process.exit(EXIT_INVALID_USE);
  }
}

function describeError(error: unknown): string {
  return error instanceof zod.ZodError ? zod.prettifyError(error) : (error as Error).message;
}

/** Starts a server, prints its addresses as one JSON line and stops it on SIGTERM or SIGINT. */
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
