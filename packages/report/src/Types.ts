import type * as clock from '@limpettack/clock';
import type * as zod from 'zod';
import type * as exitCodes from './ExitCodes.js';
import type * as objectives from './objectives.js';
import type * as samples from './samples.js';

/** Exit code of the command. */
export type ExitCode = (typeof exitCodes.EXIT_CODES)[keyof typeof exitCodes.EXIT_CODES];

/** Service-level objectives of an installation. */
export type Objectives = zod.infer<typeof objectives.OBJECTIVES>;

/** One objective. */
export type Objective = Objectives['objectives'][number];

/** A time series of one VM with its value, or with its increase between two samples. */
export type Series = zod.infer<typeof samples.SERIES>;

/** Metrics of one VM at a point in time, or the error of a failed reading. */
export type Sample = zod.infer<typeof samples.SAMPLE>;

/** Increase of the counters of one VM between two samples. */
export interface Increase {
  /** Time of the later sample by the collector's clock, in milliseconds since the epoch. */
  readonly at: clock.Milliseconds;
  readonly vm: string;
  readonly series: readonly Series[];
}

/** Number of events that an objective counts, and of the good ones among them. */
export interface EventCount {
  readonly good: number;
  readonly total: number;
}

/** Events counted between one sample and the one before it. */
export interface EventPoint extends EventCount {
  readonly at: clock.Milliseconds;
}

/** Burn rate of an objective's error budget over a window. */
export interface WindowBurn extends EventCount {
  /** Length of the window, in milliseconds. */
  readonly spanMs: clock.Milliseconds;
  /** A rate of 1 exhausts the budget exactly in its period; undefined when there were no events. */
  readonly burnRate?: number;
  /** The worst-served workspace, for objectives of the kind `worst-workspace`. */
  readonly subject?: string;
}

/** A point of a plotted burn rate. */
export interface BurnPoint {
  readonly at: clock.Milliseconds;
  readonly burnRate: number;
}

/** A line of a plot: the burn rate over windows of one length. */
export interface BurnLine {
  readonly spanMs: clock.Milliseconds;
  readonly points: readonly BurnPoint[];
}

/** Status of an objective: within budget, burning too fast, over budget, or without events. */
export type ObjectiveStatus = 'met' | 'burning' | 'exhausted' | 'no-data';

/** The report on one objective. */
export interface ObjectiveReport {
  readonly name: string;
  readonly description: string;
  /** Share of events that must be good, between 0 and 1. */
  readonly target: number;
  readonly status: ObjectiveStatus;
  readonly windows: readonly WindowBurn[];
  /** Burn over the period of the budget, as far as there are samples. */
  readonly period: WindowBurn;
  /** Remaining share of the error budget; negative when it is overspent. */
  readonly budgetLeft?: number;
  readonly lines: readonly BurnLine[];
}

/** Report on the burn rates of service-level objectives. */
export interface BurnReport {
  readonly service: string;
  /** Times of the first and the last sample, in milliseconds since the epoch. */
  readonly from: clock.Milliseconds;
  readonly to: clock.Milliseconds;
  readonly vms: readonly string[];
  /** Number of failed readings. */
  readonly failedSamples: number;
  readonly objectives: readonly ObjectiveReport[];
}
