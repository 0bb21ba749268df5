/** Steps of priority for each doubling of attained service. */
const STEPS_PER_DOUBLING = 4;

const LARGEST_PRIORITY = 100;

/**
 * The engine priority of a call from the service that its workspace and its program have had, in
 * slot seconds. Smaller goes first.
 */
export function enginePriority(workspaceSeconds: number, programSeconds: number): number {
  const doublings = Math.log2(1 + workspaceSeconds + programSeconds);
  return Math.min(LARGEST_PRIORITY, Math.floor(doublings * STEPS_PER_DOUBLING));
}
