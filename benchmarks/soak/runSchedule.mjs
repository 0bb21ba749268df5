import * as clock from '@limpettack/clock';

const time = new clock.SystemClock();

/** Number of lanes. Each lane runs one fault at a time, so at most two faults run concurrently. */
const LANES = 2;

const MAXIMUM_GAP_MS = 800;

/** Runs faults in parallel lanes for `durationMs`. Resolves when the last fault has ended. */
export async function runSchedule(durationMs, createLane, note) {
  const deadline = time.now() + durationMs;
  const busyResources = new Set();
  const lanes = Array.from({ length: LANES }, (_, index) =>
    runLane(createLane(index), deadline, busyResources, note),
  );
  await Promise.all(lanes);
}

async function runLane({ faults, random }, deadline, busyResources, note) {
  for (;;) {
    await time.sleep(random.between(0, MAXIMUM_GAP_MS));
    if (time.now() > deadline) return;
    const fault = random.pick(random.pick(faults));
    if (busyResources.has(fault.resource)) continue;
    busyResources.add(fault.resource);
    note(fault.name);
    await fault.run();
    note(`end of ${fault.name}`);
    busyResources.delete(fault.resource);
  }
}
