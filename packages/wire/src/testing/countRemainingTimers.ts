import * as asyncHooks from 'node:async_hooks';

/**
 * Runs a step and returns how many timers that were started during the step are still running.
 * Timers of Node.js itself are included.
 */
export async function countRemainingTimers(step: () => Promise<void>): Promise<number> {
  const timers = new Set<number>();
  const hook = asyncHooks.createHook({
    init: (id, type) => {
      if (type === 'Timeout') timers.add(id);
    },
    destroy: (id) => timers.delete(id),
  });
  hook.enable();
  await step();
  // The hook reports the end of a timer only in a later iteration of the event loop.
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  hook.disable();
  return timers.size;
}
