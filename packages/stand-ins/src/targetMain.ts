#!/usr/bin/env node
import * as clock from '@limpettack/clock';
import * as cac from 'cac';

import * as engineServer from './EngineServer.js';
import * as runServer from './runServer.js';
import * as schemas from './schemas.js';
import * as serviceServer from './ServiceServer.js';

const EXIT_CRASHED = 70;

const time = new clock.SystemClock();
const command = cac.cac('limpettack-target');

addListenerOptions(command.command('engine', 'Stand in for a model engine'))
  .option('--model <name>', 'model that the engine serves')
  .option('--slots <count>', 'calls that run at once')
  .option('--prefill-ms-per-token <span>', 'time to prefill a token that is not cached')
  .option('--decode-ms-per-token <span>', 'time to generate a token of a single call')
  .option('--batch-slowdown <factor>', 'how much slower a full batch decodes, plus one')
  .option('--default-tokens <count>', 'tokens to generate when a call does not say')
  .option('--cache-tokens <count>', 'tokens that the prefix cache holds')
  .option('--cache-event-delay-ms <span>', 'how late cache events are published')
  .option('--cache-event-loss <share>', 'share of cache events that are lost')
  .option('--load-lag-ms <span>', 'how old load reports are')
  .option('--resume-window-ms <span>', 'how long a call without a connection goes on')
  .option('--transfer-ms-per-token <span>', 'time to export or import a cached token')
  .option('--loading-ms <span>', 'time that an order to load takes')
  .action((options: Record<string, unknown>) => {
    const settings = schemas.ENGINE_SETTINGS.parse(options);
    return runServer.runServer(
      new engineServer.EngineServer(time, settings, crash),
      describeAddresses,
    );
  });

addListenerOptions(command.command('service', 'Stand in for a plain service'))
  .option('--service-time-ms <span>', 'time that an execution takes')
  .action((options: Record<string, unknown>) => {
    const settings = schemas.SERVICE_SETTINGS.parse(options);
    return runServer.runServer(
      new serviceServer.ServiceServer(time, settings, crash),
      describeAddresses,
    );
  });

command.help();
await runServer.runCommand(command);

function addListenerOptions(added: cac.Command): cac.Command {
  return added
    .option('--host <host>', 'address to listen on')
    .option('--port <port>', 'port to listen on; 0 takes a free one')
    .option('--admin-port <port>', 'port of the listener that faults leave alone')
    .option('--checks-fencing', 'refuse calls and orders with an old fencing number')
    .option('--journal-entries <count>', 'entries that the journal keeps')
    .option('--journal-body-characters <count>', 'characters of a body that the journal keeps')
    .option('--seed <number>', 'seed of the cache events that are lost');
}

function crash(): never {
  process.exit(EXIT_CRASHED);
}

function describeAddresses(
  server: engineServer.EngineServer | serviceServer.ServiceServer,
): Readonly<Record<string, string>> {
  return { listening: server.address, admin: server.host.adminAddress };
}
