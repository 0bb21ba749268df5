import * as clock from '@limpettack/clock';
import * as keyedLog from '@limpettack/keyed-log';
import type * as lifetime from '@limpettack/lifetime';
import * as logging from '@limpettack/logging';
import * as wire from '@limpettack/wire';
import * as homePartition from '../HomePartition.js';
import * as homeServer from '../HomeServer.js';

/** The partition that the fixtures write to. */
export const PARTITION: keyedLog.PartitionName = { topic: 'keyed.programs', partition: 0 };

/** Above the pause after which a watermark is lowered, twice, and a write. */
const PAUSE_SETTLED_MS = 900;

/** Above the time between two attempts to write. */
const WRITES_SETTLED_MS = 150;

export function createLog(): keyedLog.MemoryKeyedLog {
  return new keyedLog.MemoryKeyedLog();
}

export function createPartition(options: {
  readonly log: keyedLog.KeyedLog;
  readonly producer: string;
  readonly time?: clock.Clock;
}): homePartition.HomePartition {
  return new homePartition.HomePartition({
    partition: 0,
    log: options.log,
    clock: options.time ?? new clock.SystemClock(),
    logger: new logging.PartLogger('homes'),
    producer: options.producer,
    releaseElsewhere: async () => undefined,
  });
}

/** Resolves when the watermarks of programs that pause have been lowered. */
export function settlePause(): Promise<void> {
  return new clock.SystemClock().sleep(PAUSE_SETTLED_MS);
}

/** A home server that is the only member. */
export function createFleet(
  log: keyedLog.KeyedLog,
): lifetime.Disposable & { readonly server: homeServer.HomeServer } {
  const time = new clock.SystemClock();
  const logger = new logging.PartLogger('homes');
  const network = new wire.FleetNetwork({
    name: 'vm-1',
    incarnation: '1',
    failureDomain: 'a',
    secret: 'a secret of the tests',
    host: '127.0.0.1',
    port: 0,
    clock: time,
    logger,
  });
  const members = {
    available: () => [],
    members: () => [],
    onChange: () => ({ dispose: () => undefined }),
  };
  const server = new homeServer.HomeServer({
    log,
    network,
    membership: members,
    clock: time,
    logger,
    partitionCount: 1,
    producer: 'vm-1',
  });
  return {
    server,
    dispose: async () => {
      await server.dispose();
      await network.dispose();
    },
  };
}

/** Resolves when appends that were under way have been answered. */
export function settleWrites(): Promise<void> {
  return new clock.SystemClock().sleep(WRITES_SETTLED_MS);
}
