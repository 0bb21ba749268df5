import type * as clock from '@limpettack/clock';
import * as keyedLog from '@limpettack/keyed-log';

const MILLISECONDS_PER_SECOND = 1_000;

/** Inputs of `coldIntervalMs`. */
export interface ColdShareQuery {
  /** Names of all VMs, including this one. */
  readonly vmNames: readonly string[];
  readonly ownName: string;
  readonly targetId: string;
  /** Number of requests per second that all VMs together may send to the target. */
  readonly ratePerSecond: number;
}

/**
 * The minimum time between two sends of this VM to a cold target; undefined if it may send none.
 * Addresses the load of many VMs that find the same target idle at the same moment.
 *
 * In any second, each VM may send the same whole number of requests, and the VMs that rank first
 * for the target may send one more. Fractional shares would exceed the rate, because the phases of
 * the VMs are not aligned: with 20 VMs and a rate of 21, each could send twice within 953 ms.
 */
export function coldIntervalMs(query: ColdShareQuery): clock.Milliseconds | undefined {
  const { ownName, ratePerSecond, targetId, vmNames } = query;
  const sendsPerSecond = Math.max(1, Math.floor(ratePerSecond));
  const ranked = keyedLog.rankByRendezvous(targetId, vmNames, (name) => name);
  const common = Math.floor(sendsPerSecond / ranked.length);
  const hasOneMore = ranked.indexOf(ownName) < sendsPerSecond % ranked.length;
  const ownSends = common + (hasOneMore ? 1 : 0);
  if (ownSends === 0) return undefined;
  return MILLISECONDS_PER_SECOND / (ownSends * Math.min(1, ratePerSecond));
}
