import * as clock from '@limpettack/clock';
import type * as keyedLog from '@limpettack/keyed-log';
import type * as lifetime from '@limpettack/lifetime';
import * as logging from '@limpettack/logging';
import type * as wire from '@limpettack/wire';
import * as wireTesting from '@limpettack/wire/testing';
import * as loggedTurnStore from '../LoggedTurnStore.js';
import * as turnMemory from '../TurnMemory.js';
import type { Turn } from '../Types.js';
import * as turnFleet from './TurnFleet.js';

/** Time limit for storing a turn, also when many turns are stored concurrently. */
const STORE_TIMEOUT_MS = 5_000;

/** Number of turns of other programs, as on the busiest days in production. */
const OTHER_TURNS = 2_000;
const OTHER_SIZE_BYTES = 20_000;

/** The bandwidth of the smallest VMs: 21 Mbit/s. */
export const LINK_BYTES_PER_MS = 2_600;

/** Creates turn stores, each of a process with its own network. */
export interface TestStores extends lifetime.Disposable {
  /** The networks of the processes, in the order of their creation. */
  readonly networks: readonly wire.FleetNetwork[];
  create(
    log: keyedLog.KeyedLog,
    name: string,
    changes?: Partial<loggedTurnStore.LoggedTurnStoreOptions>,
  ): Promise<loggedTurnStore.LoggedTurnStore>;
}

export function createTestStores(): TestStores {
  const stores: loggedTurnStore.LoggedTurnStore[] = [];
  const networks: wire.FleetNetwork[] = [];
  return {
    networks,
    create: async (log, name, changes = {}) => {
      const network = wireTesting.createTestNetwork(name);
      networks.push(network);
      await network.listen();
      const store = new loggedTurnStore.LoggedTurnStore({
        log,
        network,
        membership: { available: () => [], onChange: () => ({ dispose: () => undefined }) },
        clock: new clock.SystemClock(),
        logger: new logging.PartLogger('test'),
        producer: name,
        partitionCount: 4,
        recordBytes: 16_384,
        cacheBytes: 1_000_000,
        memory: new turnMemory.TurnMemory(20_000_000),
        ...changes,
      });
      stores.push(store);
      return store;
    },
    dispose: async () => {
      stores.splice(0).forEach((store) => store.dispose());
      await Promise.all(networks.splice(0).map((network) => network.dispose()));
    },
  };
}

/** Creates a turn whose content contains its id, padded to a size. */
export function createTurn(id: string, previous?: string, bytes = 0): Turn {
  const content = Buffer.from(`content ${id}`.padEnd(bytes, '.'));
  const timing = { retentionMs: turnFleet.RETENTION_MS, maximumRunMs: 4_000 };
  return { id, previous, workspace: 'w', content, ...timing };
}

/** Stores a chain of turns, each with the earlier turns that its history returned. */
export async function keepChain(
  store: loggedTurnStore.LoggedTurnStore,
  ids: readonly string[],
  bytes = 0,
): Promise<void> {
  let previous: string | undefined;
  for (const id of ids) {
    const history = previous === undefined ? undefined : await store.history(previous, 'w', {});
    if (history?.isErr) throw new Error(`There should be a history, not ${history.error.kind}.`);
    const earlier = history?.value.turns;
    await store.keep({ ...createTurn(id, previous, bytes), earlier }, STORE_TIMEOUT_MS);
    previous = id;
  }
}

/** Fills the log with turns of other programs whose ids are spread around those of any chain. */
export async function keepOtherTurns(store: loggedTurnStore.LoggedTurnStore): Promise<void> {
  const numbers = Array.from({ length: OTHER_TURNS }, (_, index) => index);
  const ids = numbers.map((number) => [...number.toString(16).padStart(5, '0')].reverse().join(''));
  const turns = ids.map((id) => createTurn(id, undefined, OTHER_SIZE_BYTES));
  await Promise.all(turns.map((turn) => store.keep(turn, STORE_TIMEOUT_MS)));
}
