import * as clock from '@limpettack/clock';

const time = new clock.SystemClock();

/** Lanes of faults: at moments one fault of each works, so two at a time. */
const LANES = 2;

const LONGEST_GAP_MS = 800;

/** Runs faults in lanes beside each other for a span; resolves when the last has ended. */
export async function runSchedule(spanMs, createLane, note) {
  const deadline = time.now() + spanMs;
  const busy = new Set();
  const lanes = Array.from({ length: LANES }, (_, index) =>
    runLane(createLane(index), deadline, busy, note),
  );
  await Promise.all(lanes);
}

async function runLane({ faults, random }, deadline, busy, note) {
  for (;;) {
    await time.sleep(random.between(0, LONGEST_GAP_MS));
    if (time.now() > deadline) return;
    const fault = random.pick(random.pick(faults));
    if (busy.has(fault.needs)) continue;
    busy.add(fault.needs);
    note(fault.name);
    await fault.run();
    note(`end of ${fault.name}`);
    busy.delete(fault.needs);
  }
}
