import * as configuration from '@limpettack/configuration';
import type * as lifetime from '@limpettack/lifetime';
import * as scheduling from '@limpettack/scheduling';
import * as targets from '@limpettack/targets';
import * as vmContext from './VmContext.js';
import type { VmContext } from './VmContext.js';

const NOTHING_TO_DISPOSE: lifetime.Disposable = { dispose: () => undefined };

/** The parts towards the targets. */
export interface TargetParts {
  readonly lookup: targets.TargetLookup;
  readonly client: targets.TargetClient;
  readonly directory: targets.TargetDirectory;
  readonly scheduler: scheduling.Scheduler;
}

/** Makes the client of the targets, their directory and the scheduler of calls. */
export function createTargetParts(context: VmContext): TargetParts {
  const { store, random } = context;
  const lookup = new targets.ConfigurationLookup(context.configuration);
  const made: { directory?: targets.TargetDirectory } = {};
  const client = store.add(
    new targets.HttpTargetClient({
      ...vmContext.partsOf(context.clock, 'targets'),
      lookup,
      credentials: context.secrets.credentials,
      // The directory reads through this client, so it is made after it.
      mayTakeWork: (target) => made.directory?.mayTakeWork(target) ?? false,
      onUnreachable: (listener) => made.directory?.onUnreachable(listener) ?? NOTHING_TO_DISPOSE,
    }),
  );
  const directory = store.add(
    new targets.PoolTargetDirectory({
      ...vmContext.partsOf(context.clock, 'targets'),
      configuration: context.configuration,
      reader: client,
      random,
    }),
  );
  made.directory = directory;
  const scheduler = store.add(
    new scheduling.PoolScheduler({
      ...vmContext.partsOf(context.clock, 'scheduling'),
      targets: directory,
      policy: scheduling.POLICIES[context.settings.scheduling.policy](),
      ownFailureDomain: context.settings.vm.failureDomain,
    }),
  );
  return { lookup, client, directory, scheduler };
}

/** Names of all engines in the tables in force. */
export function enginesOf(view: configuration.ConfigurationView): readonly string[] {
  return [...view.current().pools.values()]
    .filter((pool) => pool.kind === configuration.CALL_KINDS.MODEL)
    .flatMap((pool) => pool.targets.map((target) => target.name));
}
