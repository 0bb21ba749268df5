import type * as clockPackage from '@limpettack/clock';
import type * as configuration from '@limpettack/configuration';
import type * as journal from '@limpettack/journal';
import type * as lifetime from '@limpettack/lifetime';
import * as logging from '@limpettack/logging';
import type * as membership from '@limpettack/membership';
import type * as metrics from '@limpettack/metrics';
import type * as platformClient from '@limpettack/platform-client';
import type * as programs from '@limpettack/programs';
import type * as wire from '@limpettack/wire';
import type * as nodeSettings from './NodeSettings.js';

/** The sharded journal of programs. */
export type ProgramJournal = journal.ShardJournal<programs.ShardState, programs.JournalBody>;

/** The texts of the secrets that the settings refer to. */
export interface NodeSecrets {
  readonly peers: string;
  readonly operators: string;
  /** Credentials for targets, by name. */
  readonly credentials: ReadonlyMap<string, string>;
}

/** State shared by all components of a VM process. */
export interface VmContext {
  readonly settings: nodeSettings.NodeSettings;
  readonly secrets: NodeSecrets;
  readonly clock: clockPackage.Clock;
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  readonly random: () => number;
  readonly metrics: metrics.Metrics;
  readonly network: wire.FleetNetwork;
  /** Paces what arrives on the connections of all ports. */
  readonly reads: wire.ReadScheduler;
  readonly log: platformClient.LogClient;
  readonly members: membership.ProbingMembership;
  readonly configuration: configuration.ConfigurationFollower;
  /** Owns all disposable components; disposes the ones added last first. */
  readonly store: lifetime.DisposableStore;
}

/** Returns the clock and a logger for a part of the process, as options for its constructor. */
export function clockAndLogger(
  clock: clockPackage.Clock,
  part: string,
): { clock: clockPackage.Clock; logger: logging.Logger } {
  return { clock, logger: new logging.PartLogger(part) };
}
