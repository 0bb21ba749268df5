import type { SchedulingPolicy } from './Types.js';
import * as targetChoices from './targetChoices.js';
import * as queueOrders from './queueOrders.js';
import * as refusals from './refusals.js';

const FAIR: SchedulingPolicy = {
  name: 'fair',
  order: queueOrders.fairOrder,
  choose: targetChoices.cheapestTarget,
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
    order: queueOrders.leastAttainedServiceOrder,
  }),
  'fair-without-attained-service': (): SchedulingPolicy => ({
    ...FAIR,
    name: 'fair-without-attained-service',
    order: queueOrders.fairFirstComeOrder,
  }),
  'fair-without-affinity': (): SchedulingPolicy => ({
    ...FAIR,
    name: 'fair-without-affinity',
    choose: targetChoices.cheapestWithoutAffinity,
  }),
  'fair-without-early-refusal': (): SchedulingPolicy => ({
    ...FAIR,
    name: 'fair-without-early-refusal',
    refuse: refusals.refuseBeyondQueueLimit,
  }),
  'round-robin-fifo': (): SchedulingPolicy => ({
    name: 'round-robin-fifo',
    order: queueOrders.firstComeFirstServed,
    choose: targetChoices.createRoundRobin(),
    refuse: refusals.refuseBeyondQueueLimit,
  }),
  'least-load': (): SchedulingPolicy => ({
    name: 'least-load',
    order: queueOrders.firstComeFirstServed,
    choose: targetChoices.leastLoadedTarget,
    refuse: refusals.refuseBeyondQueueLimit,
  }),
  'affinity-only': (): SchedulingPolicy => ({
    name: 'affinity-only',
    order: queueOrders.firstComeFirstServed,
    choose: targetChoices.mostCachedTarget,
    refuse: refusals.refuseBeyondQueueLimit,
  }),
} as const;

/** A key of `POLICIES`. */
export type PolicyName = keyof typeof POLICIES;
