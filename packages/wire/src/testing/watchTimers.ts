import * as asyncHooks from 'node:async_hooks';

/** Runs a step and returns how many timers it has started that still run, those of Node included. */
export async function watchTimers(step: () => Promise<void>): Promise<number> {
  const timers = new Set<number>();
  const hook = asyncHooks.createHook({
    init: (id, type) => {
      if (type === 'Timeout') timers.add(id);
    },
    destroy: (id) => timers.delete(id),
  });
  hook.enable();
  await step();
  // What has ended is told in a later turn of the event loop.
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  hook.disable();
  return timers.size;
}
