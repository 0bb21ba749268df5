import type * as clock from '@limpettack/clock';

import type * as directions from './Directions.js';

/** One or both directions of a proxied connection. */
export type Direction = (typeof directions.DIRECTIONS)[keyof typeof directions.DIRECTIONS];

/** The current faults of a proxy, queried by each of its connections. */
export interface ConnectionFaults {
  /** Delay before a chunk is forwarded, in milliseconds. */
  delayMs(): clock.Milliseconds;
  /** Whether forwarding in a direction is suspended. */
  isSilenced(direction: Direction): boolean;
  /**
   * Returns how many of `count` response bytes to forward. If fewer than `count`, the connection is
   * closed after them.
   */
  consumeDownstreamBytes(count: number): number;
  /** Called with the number of bytes of each forwarded chunk. */
  countForwarded(count: number): void;
}

/** Settings by name within each section of a settings file. */
export type SettingsSections = Readonly<Record<string, Readonly<Record<string, unknown>>>>;

/** The fields that tests read from a VM's description of the fleet on its operators' port. */
export interface FleetDescription {
  readonly configurationVersion: number;
  readonly isLogAvailable: boolean;
  readonly members: readonly {
    readonly name: string;
    readonly state: string;
    readonly listed: boolean;
  }[];
  /** Indexed by shard; null if no owner is known. */
  readonly shards: readonly (ShardDescription | null)[];
}

/** The owner and the standby of a shard, as known to a VM. */
export interface ShardDescription {
  readonly shard: number;
  readonly epoch: number;
  readonly owner: { readonly name: string; readonly incarnation: string };
  readonly standby?: { readonly name: string; readonly incarnation: string };
}
