import type * as clock from '@limpettack/clock';
import type { QueueOrder, WaitingCall, WorkspaceUsage } from './Types.js';

/** Attained service that one second of waiting offsets, in slot seconds. */
const AGEING_PER_SECOND = 0.5;

const MILLISECONDS_PER_SECOND = 1_000;

/** First come, first served, across all workspaces. */
export const firstComeFirstServed: QueueOrder = (waiting) =>
  minimumBy(waiting, (call) => call.waitingSince);

/** The workspace with the least attained service first; within it the program with the least. */
export const fairOrder: QueueOrder = (waiting, usage, now) =>
  selectLeastAttained(ofLeastServedWorkspace(waiting, usage), now);

/** The program with the least attained service first, regardless of its workspace. */
export const leastAttainedServiceOrder: QueueOrder = (waiting, _usage, now) =>
  selectLeastAttained(waiting, now);

/** The workspace with the least attained service first; within it first come, first served. */
export const fairFirstComeOrder: QueueOrder = (waiting, usage) =>
  minimumBy(ofLeastServedWorkspace(waiting, usage), (call) => call.waitingSince);

function ofLeastServedWorkspace(
  waiting: readonly WaitingCall[],
  usage: WorkspaceUsage,
): readonly WaitingCall[] {
  const workspaces = [...new Set(waiting.map((call) => call.workspace))];
  const first = minimumBy(workspaces, (workspace) => usage.attainedSeconds(workspace));
  return waiting.filter((call) => call.workspace === first);
}

function selectLeastAttained(
  waiting: readonly WaitingCall[],
  now: clock.Milliseconds,
): WaitingCall | undefined {
  return minimumBy(waiting, (call) => {
    const waitedSeconds = (now - call.waitingSince) / MILLISECONDS_PER_SECOND;
    return call.attainedSeconds - waitedSeconds * AGEING_PER_SECOND;
  });
}

function minimumBy<Item>(items: readonly Item[], score: (item: Item) => number): Item | undefined {
  let best: Item | undefined;
  let bestScore = Infinity;
  items.forEach((item) => {
    const itemScore = score(item);
    if (best !== undefined && itemScore >= bestScore) return;
    best = item;
    bestScore = itemScore;
  });
  return best;
}
