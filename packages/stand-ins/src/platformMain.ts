#!/usr/bin/env node
import * as clock from '@limpettack/clock';
import * as cac from 'cac';

import * as platformServer from './PlatformServer.js';
import * as runServer from './runServer.js';
import * as schemas from './schemas.js';

const command = cac.cac('limpettack-platform');
command
  .command('', 'Stand in for the platform: its log, its list of VMs and its weight store')
  .option('--host <host>', 'address to listen on')
  .option('--port <port>', 'port to listen on; 0 takes a free one')
  .option('--retention-ms <span>', 'how long records are kept')
  .option('--appends-per-second <rate>', 'rate of appends over all streams')
  .option('--vm-list-lag-ms <span>', 'how old the list of VMs is')
  .option('--latency-ms <span>', 'time that each call takes')
  .option('--weights-per-second <rate>', 'rate of the weight store')
  .option('--weight-bytes <count>', 'bytes of each weight file')
  .action((options: Record<string, unknown>) => {
    const settings = schemas.PLATFORM_SETTINGS.parse(options);
    return runServer.runServer(
      new platformServer.PlatformServer(new clock.SystemClock(), settings),
      (server) => ({ listening: server.address }),
    );
  });
command.help();
await runServer.runCommand(command);
