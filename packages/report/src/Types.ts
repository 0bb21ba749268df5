import type * as clock from '@limpettack/clock';
import type * as zod from 'zod';
import type * as exitCodes from './ExitCodes.js';
import type * as objectives from './objectives.js';
import type * as samples from './samples.js';

/** A number that says how the command ended. */
export type ExitCode = (typeof exitCodes.EXIT_CODES)[keyof typeof exitCodes.EXIT_CODES];

/** The objectives of an installation. */
export type Objectives = zod.infer<typeof objectives.OBJECTIVES>;

/** One objective. */
export type Objective = Objectives['objectives'][number];

/** A time series of one VM with its value or its increase. */
export type Series = zod.infer<typeof samples.SERIES>;

/** What was read from one VM at one time. */
export type Sample = zod.infer<typeof samples.SAMPLE>;

/** How much the counters of one VM grew between two samples. */
export interface Increase {
  /** When the later sample was taken, by the collector's clock, in milliseconds. */
  readonly at: clock.Milliseconds;
  readonly vm: string;
  readonly series: readonly Series[];
}

/** Events that an objective counts, and how many of them were good. */
export interface EventCount {
  readonly good: number;
  readonly total: number;
}

/** Events of one sample. */
export interface EventPoint extends EventCount {
  readonly at: clock.Milliseconds;
}

/** How fast an objective uses up its error budget over a window. */
export interface WindowBurn extends EventCount {
  readonly spanMs: clock.Milliseconds;
  /** 1 uses up the budget in just its period; nothing when there were no events. */
  readonly burnRate?: number;
  /** The workspace that was served worst; for such objectives. */
  readonly subject?: string;
}

/** A burn rate at a time, for plots. */
export interface BurnPoint {
  readonly at: clock.Milliseconds;
  readonly burnRate: number;
}

/** A line of a plot. */
export interface BurnLine {
  readonly spanMs: clock.Milliseconds;
  readonly points: readonly BurnPoint[];
}

/** How an objective stands. */
export type ObjectiveStatus = 'met' | 'burning' | 'exhausted' | 'no-data';

/** All that is said of one objective. */
export interface ObjectiveReport {
  readonly name: string;
  readonly description: string;
  /** The part of events that must be good. */
  readonly target: number;
  readonly status: ObjectiveStatus;
  readonly windows: readonly WindowBurn[];
  /** Events over the period of the budget, as far as samples go. */
  readonly period: WindowBurn;
  /** The part of the error budget that is left; negative when overspent. */
  readonly budgetLeft?: number;
  readonly lines: readonly BurnLine[];
}

/** The report on service-level burn. */
export interface BurnReport {
  readonly service: string;
  /** Time of day of the first and the last sample, in milliseconds since the epoch. */
  readonly from: clock.Milliseconds;
  readonly to: clock.Milliseconds;
  readonly vms: readonly string[];
  /** How many samples could not be read from a VM. */
  readonly failedSamples: number;
  readonly objectives: readonly ObjectiveReport[];
}
