import type * as clock from '@limpettack/clock';
import type { Sample } from './Types.js';
import * as scrapeVm from './scrapeVm.js';

/** Options of a collection. */
export interface CollectOptions {
  /** URLs of the VMs' operators' ports. */
  readonly vms: readonly string[];
  readonly intervalMs: clock.Milliseconds;
  /** Duration of the collection, in milliseconds; unlimited when omitted. */
  readonly spanMs?: clock.Milliseconds;
  readonly clock: clock.Clock;
  readonly signal: AbortSignal;
  /** Called with each sample; awaited before the next one. */
  readonly onSample: (sample: Sample) => void | Promise<void>;
}

/** Reads all VMs at intervals, and also at the start and the end of the duration. */
export async function collectSamples(options: CollectOptions): Promise<void> {
  const endAt = options.clock.now() + (options.spanMs ?? Number.POSITIVE_INFINITY);
  let isLastRound = false;
  while (!options.signal.aborted) {
    const samples = await Promise.all(
      options.vms.map((vm) => scrapeVm.scrapeVm(vm, options.clock)),
    );
    for (const sample of samples) await options.onSample(sample);
    if (isLastRound) return;
    const remainingMs = Math.max(endAt - options.clock.now(), 0);
    isLastRound = remainingMs <= options.intervalMs;
    await options.clock.sleep(Math.min(options.intervalMs, remainingMs), options.signal);
  }
}
