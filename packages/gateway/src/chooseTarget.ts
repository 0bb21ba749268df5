import * as keyedLog from '@limpettack/keyed-log';
import type * as targetScores from './TargetScores.js';
import type { Target } from './Types.js';

/** How far above the mean a target's calls may lie before its turn goes to the next one. */
const LOAD_FACTOR = 1.5;

/** Calls that a target may always get, however few the others have. */
const ALWAYS_ALLOWED = 2;

/** What a choice rests on. */
export interface Choice {
  readonly candidates: readonly Target[];
  readonly scores: ReadonlyMap<string, targetScores.TargetScore>;
  /** Calls with the same text do better at the same target; nothing where that is all one. */
  readonly affinity: string | undefined;
  readonly ownFailureDomain: string;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
}

/**
 * Chooses a target. With an affinity: the first by rendezvous hashing that is neither failing,
 * slow nor loaded far above the others, so that a prompt's cached prefix is found again and no
 * popular one overloads its target. Without: the least loaded one, near ones first, any of those that
 * are alike. Load pattern for the last: hundreds of VMs of which each has hardly a call under way
 * know no difference between the targets, and would all choose the same one by any fixed order.
 */
export function chooseTarget(choice: Choice): Target | undefined {
  const { affinity, candidates } = choice;
  const sound = candidates.filter((target) => isSound(choice, target));
  const from = sound.length > 0 ? sound : candidates.filter((target) => !isPaused(choice, target));
  const last = from.length > 0 ? from : candidates;
  return affinity === undefined ? chooseLeastLoaded(choice, last) : chooseByHash(choice, last);
}

function chooseByHash(choice: Choice, candidates: readonly Target[]): Target | undefined {
  const ranked = keyedLog.rankByRendezvous(choice.affinity ?? '', candidates, ({ id }) => id);
  const total = candidates.reduce((sum, target) => sum + inFlight(choice, target), 0);
  const bound = ALWAYS_ALLOWED + (LOAD_FACTOR * total) / Math.max(1, candidates.length);
  return ranked.find((target) => inFlight(choice, target) < bound) ?? ranked[0];
}

function chooseLeastLoaded(choice: Choice, candidates: readonly Target[]): Target | undefined {
  const least = Math.min(...candidates.map((target) => inFlight(choice, target)));
  const free = candidates.filter((target) => inFlight(choice, target) === least);
  const near = free.filter((target) => isNear(choice, target));
  const alike = near.length > 0 ? near : free;
  return alike[Math.floor(choice.random() * alike.length)];
}

function isNear(choice: Choice, target: Target): boolean {
  return target.failureDomain === choice.ownFailureDomain;
}

function isSound(choice: Choice, target: Target): boolean {
  const score = choice.scores.get(target.id);
  return score === undefined || (!score.isPaused && !score.isSlow);
}

function isPaused(choice: Choice, target: Target): boolean {
  return choice.scores.get(target.id)?.isPaused ?? false;
}

function inFlight(choice: Choice, target: Target): number {
  return choice.scores.get(target.id)?.inFlight ?? 0;
}
