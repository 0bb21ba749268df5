import type * as clock from '@limpettack/clock';

import type * as directions from './Directions.js';

/** A direction, or both directions, of a proxied connection. */
export type Direction = (typeof directions.DIRECTIONS)[keyof typeof directions.DIRECTIONS];

/** The faults of a proxy as one of its connections asks for them. */
export interface ConnectionFaults {
  /** How long a piece is held back, in milliseconds. */
  delayMs(): clock.Milliseconds;
  /** Whether nothing is forwarded in a direction. */
  isSilenced(direction: Direction): boolean;
  /** How many of so many answer bytes go through; fewer says that the connection is then reset. */
  takeDownBytes(count: number): number;
  /** Called with the number of bytes of each piece that has been forwarded. */
  countForwarded(count: number): void;
}

/** Sections of a settings file, and in each the settings by name. */
export type SettingsSections = Readonly<Record<string, Readonly<Record<string, unknown>>>>;

/** What the operators' port of a VM says of the fleet, as far as tests read it. */
export interface FleetDescription {
  readonly configurationVersion: number;
  readonly isLogAvailable: boolean;
  readonly members: readonly {
    readonly name: string;
    readonly state: string;
    readonly listed: boolean;
  }[];
  /** By shard; null for one that nobody is known to own. */
  readonly shards: readonly (ShardDescription | null)[];
}

/** Who holds a shard, as a VM knows. */
export interface ShardDescription {
  readonly shard: number;
  readonly epoch: number;
  readonly owner: { readonly name: string; readonly incarnation: string };
  readonly standby?: { readonly name: string; readonly incarnation: string };
}
