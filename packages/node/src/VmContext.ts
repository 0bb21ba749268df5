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

/** The journal of programs. */
export type Shards = journal.ShardJournal<programs.ShardState, programs.JournalBody>;

/** Secrets of the settings, read from where they are kept. */
export interface NodeSecrets {
  readonly peers: string;
  readonly operators: string;
  readonly credentials: ReadonlyMap<string, string>;
}

/** What all parts of a VM process share. */
export interface VmContext {
  readonly settings: nodeSettings.NodeSettings;
  readonly secrets: NodeSecrets;
  readonly clock: clockPackage.Clock;
  /** Between 0 and 1. */
  readonly random: () => number;
  readonly metrics: metrics.Metrics;
  readonly network: wire.FleetNetwork;
  readonly log: platformClient.LogClient;
  readonly members: membership.ProbingMembership;
  readonly configuration: configuration.ConfigurationFollower;
  /** Owns all that is opened; what is added later is released first. */
  readonly store: lifetime.DisposableStore;
}

/** The clock, and the logger of a part by its prefix. */
export function partsOf(
  clock: clockPackage.Clock,
  part: string,
): { clock: clockPackage.Clock; logger: logging.Logger } {
  return { clock, logger: new logging.PartLogger(part) };
}
