#!/usr/bin/env node
import * as logging from '@limpettack/logging';
import * as settings from '@limpettack/settings';
import * as cac from 'cac';
import * as nodeSettings from './NodeSettings.js';
import * as readSecrets from './readSecrets.js';
import * as vmProcess from './VmProcess.js';

const EXIT_OK = 0;
const EXIT_FAILED = 1;
const EXIT_INVALID = 4;

const command = cac.cac('limpettack-node');
command
  .command('<settings>', 'Run a VM process with a settings file')
  .option('--check', 'check the settings file and print every error')
  .action((path: string, options: { check?: boolean }) => run(path, options.check === true));
command.help();
command.parse();

async function run(path: string, isCheck: boolean): Promise<void> {
  const read = await settings.readSettingsFile(path, nodeSettings.NODE_SETTINGS);
  if (read.isErr) return fail(read.error);
  const secrets = await readSecrets.readSecrets(read.value);
  if (secrets.isErr) return fail([secrets.error]);
  if (isCheck) {
    process.stdout.write('The settings are good.\n');
    return undefined;
  }
  return serve(new vmProcess.VmProcess(read.value, secrets.value));
}

/** Only logs failed background tasks, as an exit would end the programs of all callers. */
function logUnhandledRejections(): void {
  const logger = new logging.PartLogger('node');
  process.on('unhandledRejection', (reason) => {
    logger.error('A background task failed.', { reason: String(reason) });
  });
}

async function serve(vm: vmProcess.VmProcess): Promise<void> {
  const stop = (): void => {
    vm.shutDown().then(
      () => process.exit(EXIT_OK),
      () => process.exit(EXIT_FAILED),
    );
  };
  logUnhandledRejections();
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
  try {
    const addresses = await vm.start();
    process.stdout.write(`${JSON.stringify(addresses)}\n`);
  } catch (error) {
    process.stderr.write(`The start failed: ${(error as Error).message}\n`);
    process.exit(EXIT_FAILED);
  }
}

function fail(errors: readonly settings.SettingsError[]): void {
  errors.forEach((error) => process.stderr.write(`${settings.formatSettingsError(error)}\n`));
  process.exitCode = EXIT_INVALID;
}
