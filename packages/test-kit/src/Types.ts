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
}
