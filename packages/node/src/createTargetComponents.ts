import * as configuration from '@limpettack/configuration';
import type * as lifetime from '@limpettack/lifetime';
import * as scheduling from '@limpettack/scheduling';
import * as targets from '@limpettack/targets';
import * as vmContext from './VmContext.js';
import type { VmContext } from './VmContext.js';

const NO_SUBSCRIPTION: lifetime.Disposable = { dispose: () => undefined };

/** The components that handle targets. */
export interface TargetComponents {
  readonly lookup: targets.TargetLookup;
  readonly client: targets.TargetClient;
  readonly directory: targets.TargetDirectory;
  readonly scheduler: scheduling.Scheduler;
}

/** Creates the client of the targets, their directory and the scheduler of calls. */
export function createTargetComponents(context: VmContext): TargetComponents {
  const { store, random } = context;
  const lookup = new targets.ConfigurationLookup(context.configuration);
  const lateBound: { directory?: targets.TargetDirectory } = {};
  const client = store.add(
    new targets.HttpTargetClient({
      ...vmContext.clockAndLogger(context.clock, 'targets'),
      lookup,
      credentials: context.secrets.credentials,
      // The directory needs this client as its reader, so it is created after it.
      mayTakeWork: (target) => lateBound.directory?.mayTakeWork(target) ?? false,
      onUnreachable: (listener) => lateBound.directory?.onUnreachable(listener) ?? NO_SUBSCRIPTION,
    }),
  );
  const directory = store.add(
    new targets.PoolTargetDirectory({
      ...vmContext.clockAndLogger(context.clock, 'targets'),
      configuration: context.configuration,
      reader: client,
      random,
    }),
  );
  lateBound.directory = directory;
  const scheduler = store.add(
    new scheduling.PoolScheduler({
      ...vmContext.clockAndLogger(context.clock, 'scheduling'),
      targets: directory,
      policy: scheduling.POLICIES[context.settings.scheduling.policy](),
      ownFailureDomain: context.settings.vm.failureDomain,
    }),
  );
  return { lookup, client, directory, scheduler };
}

/** Returns the names of all engines in the current configuration. */
export function enginesOf(view: configuration.ConfigurationView): readonly string[] {
  return [...view.current().pools.values()]
    .filter((pool) => pool.kind === configuration.CALL_KINDS.MODEL)
    .flatMap((pool) => pool.targets.map((target) => target.name));
}
