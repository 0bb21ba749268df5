import type { SchedulingPolicy } from './Types.js';
import * as choices from './choices.js';
import * as orders from './orders.js';
import * as refusals from './refusals.js';

const FAIR: SchedulingPolicy = {
  name: 'fair',
  order: orders.fairOrder,
  choose: choices.cheapestTarget,
  refuse: refusals.refuseEarly,
};

/**
 * Factories of the policies by their names in the settings. Each created policy has its own state.
 */
export const POLICIES = {
  fair: (): SchedulingPolicy => FAIR,
  'fair-without-workspaces': (): SchedulingPolicy => ({
    ...FAIR,
    name: 'fair-without-workspaces',
    order: orders.leastAttainedServiceOrder,
  }),
  'fair-without-attained-service': (): SchedulingPolicy => ({
    ...FAIR,
    name: 'fair-without-attained-service',
    order: orders.fairFirstComeOrder,
  }),
  'fair-without-affinity': (): SchedulingPolicy => ({
    ...FAIR,
    name: 'fair-without-affinity',
    choose: choices.cheapestWithoutAffinity,
  }),
  'fair-without-early-refusal': (): SchedulingPolicy => ({
    ...FAIR,
    name: 'fair-without-early-refusal',
    refuse: refusals.refusePastBound,
  }),
  'round-robin-fifo': (): SchedulingPolicy => ({
    name: 'round-robin-fifo',
    order: orders.firstComeFirstServed,
    choose: choices.createRoundRobin(),
    refuse: refusals.refusePastBound,
  }),
  'least-load': (): SchedulingPolicy => ({
    name: 'least-load',
    order: orders.firstComeFirstServed,
    choose: choices.leastLoadedTarget,
    refuse: refusals.refusePastBound,
  }),
  'affinity-only': (): SchedulingPolicy => ({
    name: 'affinity-only',
    order: orders.firstComeFirstServed,
    choose: choices.mostCachedTarget,
    refuse: refusals.refusePastBound,
  }),
} as const;

/** A key of `POLICIES`. */
export type PolicyName = keyof typeof POLICIES;
