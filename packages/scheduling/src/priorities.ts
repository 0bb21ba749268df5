/** Priority levels for each doubling of attained service. */
const STEPS_PER_DOUBLING = 4;

const MAXIMUM_PRIORITY = 100;

/**
 * The engine priority of a call, from the attained service of its workspace and its program in slot
 * seconds. A smaller number is a higher priority.
 */
export function enginePriority(workspaceSeconds: number, programSeconds: number): number {
  const doublings = Math.log2(1 + workspaceSeconds + programSeconds);
  return Math.min(MAXIMUM_PRIORITY, Math.floor(doublings * STEPS_PER_DOUBLING));
}
