import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';

import * as clock from '@limpettack/clock';
import * as configuration from '@limpettack/configuration';
import * as lifetime from '@limpettack/lifetime';
import * as platformClient from '@limpettack/platform-client';

import * as faultProxy from './FaultProxy.js';
import * as findFreePorts from './findFreePorts.js';
import * as fleets from './Fleet.js';
import * as fleetTables from './fleetTables.js';
import type { FleetTargetRow, TablesInput } from './fleetTables.js';
import * as fleetTarget from './FleetTarget.js';
import * as fleetVm from './FleetVm.js';
import * as platformProcess from './PlatformProcess.js';
import type { CommandLineOptions } from './startProcess.js';
import * as targetProcess from './TargetProcess.js';
import type { SettingsSections } from './Types.js';

const PORTS_PER_VM = 3;
const REQUEST_TIMEOUT_MS = 2_000;
const DEFAULT_SLOTS = 16;
const PEERS_SECRET = 'secret-of-the-test-fleet';
const OPERATORS_TOKEN = 'token-of-the-test-operators';

/** Options of a test fleet. */
export interface FleetOptions {
  /** Number of VMs. */
  readonly vms: number;
  /** Failure domains, assigned to VMs and to targets in turn. */
  readonly failureDomains: readonly string[];
  /** Number of engines, named `engine-1` and so on; defaults to 1. */
  readonly engines?: number;
  /** Number of services, named `service-1` and so on; defaults to 1. */
  readonly services?: number;
  /** Command-line options of the stand-ins. */
  readonly engineOptions?: CommandLineOptions;
  readonly serviceOptions?: CommandLineOptions;
  readonly platformOptions?: CommandLineOptions;
  /** Connections that go through fault proxies; defaults to none. */
  readonly proxies?: {
    /** From peers to each VM. */
    readonly peers?: boolean;
    /** From each VM to the platform. */
    readonly platform?: boolean;
    /** From all VMs to each target. */
    readonly targets?: boolean;
  };
  /** Merged into the settings of each VM, section by section. */
  readonly settings?: SettingsSections;
  /** Environment variables of the VM processes, such as `ROARR_LOG`. */
  readonly environment?: Readonly<Record<string, string>>;
  /** Creates the tables; defaults to `defaultTables`. */
  readonly tables?: (targets: readonly FleetTargetRow[]) => TablesInput;
  /** Number of VMs that are started concurrently; defaults to all. */
  readonly startsAtOnce?: number;
  /** Keys by workspace; defaults to `FLEET_NAMES.KEY` for `FLEET_NAMES.WORKSPACE`. */
  readonly keys?: Readonly<Record<string, readonly string[]>>;
}

/** Starts a platform, targets and VMs, publishes the configuration and waits for readiness. */
export async function startFleet(options: FleetOptions): Promise<fleets.Fleet> {
  const store = new lifetime.DisposableStore();
  try {
    return await createFleet(options, store);
  } catch (error) {
    await store.dispose();
    throw error;
  }
}

async function createFleet(
  options: FleetOptions,
  store: lifetime.DisposableStore,
): Promise<fleets.Fleet> {
  const time = new clock.SystemClock();
  const platform = store.add(await platformProcess.startPlatform(options.platformOptions));
  const log = store.add(
    new platformClient.HttpLogClient(time, {
      baseUrl: platform.process.url,
      requestTimeoutMs: REQUEST_TIMEOUT_MS,
    }),
  );
  const targets = await startTargets(options, store, time);
  const vms = await createVms(options, store, time, platform);
  const fleet = new fleets.Fleet({ clock: time, platform, log, vms, targets, store });
  await publishConfiguration(options, fleet);
  await fleet.listVms();
  await startVms(vms, options.startsAtOnce ?? vms.length);
  await fleet.untilReady();
  return fleet;
}

async function startVms(vms: readonly fleetVm.FleetVm[], batchSize: number): Promise<void> {
  for (let first = 0; first < vms.length; first += batchSize) {
    await Promise.all(vms.slice(first, first + batchSize).map((vm) => vm.start()));
  }
}

async function startTargets(
  options: FleetOptions,
  store: lifetime.DisposableStore,
  time: clock.Clock,
): Promise<readonly fleetTarget.FleetTarget[]> {
  const { ENGINE, SERVICE } = targetProcess.TARGET_KINDS;
  const kinds = [
    ...Array.from({ length: options.engines ?? 1 }, (_, index) => ({ kind: ENGINE, index })),
    ...Array.from({ length: options.services ?? 1 }, (_, index) => ({ kind: SERVICE, index })),
  ];
  return Promise.all(
    kinds.map(async ({ kind, index }) => {
      const given = kind === ENGINE ? options.engineOptions : options.serviceOptions;
      const target = store.add(await targetProcess.startTarget(kind, given));
      const proxy = await createProxy(options.proxies?.targets, store, time, target.address);
      const row = {
        name: `${kind}-${index + 1}`,
        kind,
        url: `http://${proxy?.address ?? target.address}`,
        failureDomain: failureDomainOf(options, index),
        slots: Number(given?.slots ?? DEFAULT_SLOTS),
        checksFencing: given?.['checks-fencing'] === true,
      };
      return new fleetTarget.FleetTarget(row, target, proxy);
    }),
  );
}

async function createVms(
  options: FleetOptions,
  store: lifetime.DisposableStore,
  time: clock.Clock,
  platform: platformProcess.PlatformProcess,
): Promise<readonly fleetVm.FleetVm[]> {
  const directory = await fs.mkdtemp(path.join(os.tmpdir(), 'limpettack-fleet-'));
  store.addCallback(() => fs.rm(directory, { recursive: true, force: true }));
  const ports = await findFreePorts.findFreePorts(options.vms * PORTS_PER_VM);
  return Promise.all(
    Array.from({ length: options.vms }, async (_, index) => {
      const [callersPort = 0, peersPort = 0, operatorsPort = 0] = ports.slice(index * PORTS_PER_VM);
      const { proxies } = options;
      const peersProxy = await createProxy(proxies?.peers, store, time, `127.0.0.1:${peersPort}`);
      const platformProxy = await createProxy(proxies?.platform, store, time, platform.address);
      return store.add(
        new fleetVm.FleetVm({
          name: `vm-${index + 1}`,
          failureDomain: failureDomainOf(options, index),
          callersPort,
          peersPort,
          operatorsPort,
          peersSecret: PEERS_SECRET,
          operatorsToken: OPERATORS_TOKEN,
          platformUrl: `http://${platformProxy?.address ?? platform.address}`,
          peersProxy,
          platformProxy,
          settings: options.settings ?? {},
          environment: options.environment ?? {},
          directory,
        }),
      );
    }),
  );
}

async function createProxy(
  isEnabled: boolean | undefined,
  store: lifetime.DisposableStore,
  time: clock.Clock,
  upstream: string,
): Promise<faultProxy.FaultProxy | undefined> {
  if (isEnabled !== true) return undefined;
  const proxy = store.add(new faultProxy.FaultProxy(time, upstream));
  await proxy.start();
  return proxy;
}

async function publishConfiguration(options: FleetOptions, fleet: fleets.Fleet): Promise<void> {
  const makeTables = options.tables ?? fleetTables.defaultTables;
  const tables = configuration.TABLES.parse(makeTables(fleet.targets.map((target) => target.row)));
  await fleet.publish({ kind: configuration.CHANGE_KINDS.REPLACE_TABLES, tables });
  const { WORKSPACE, KEY } = fleetTables.FLEET_NAMES;
  const keys = options.keys ?? { [WORKSPACE]: [KEY] };
  const given = Object.entries(keys).flatMap(([workspace, list]) =>
    list.map((key) => ({ workspace, key })),
  );
  for (const { workspace, key } of given) await fleet.giveKey(workspace, key);
}

function failureDomainOf(options: FleetOptions, index: number): string {
  const { failureDomains } = options;
  const domain = failureDomains[index % failureDomains.length];
  if (domain === undefined) throw new Error('At least one failure domain is required');
  return domain;
}
