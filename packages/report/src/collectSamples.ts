import type * as clock from '@limpettack/clock';
import type { Sample } from './Types.js';
import * as scrapeVm from './scrapeVm.js';

/** What is collected, and for how long. */
export interface CollectOptions {
  /** URLs of the operators' ports. */
  readonly vms: readonly string[];
  readonly intervalMs: clock.Milliseconds;
  /** How long to collect; for ever when left out. */
  readonly spanMs?: clock.Milliseconds;
  readonly clock: clock.Clock;
  readonly signal: AbortSignal;
  /** Called with each sample. */
  readonly take: (sample: Sample) => void | Promise<void>;
}

/** Reads all VMs at intervals, at the start and the end of the span included. */
export async function collectSamples(options: CollectOptions): Promise<void> {
  const endAt = options.clock.now() + (options.spanMs ?? Number.POSITIVE_INFINITY);
  let isEnd = false;
  while (!options.signal.aborted) {
    const samples = await Promise.all(
      options.vms.map((vm) => scrapeVm.scrapeVm(vm, options.clock)),
    );
    for (const sample of samples) await options.take(sample);
    if (isEnd) return;
    const leftMs = Math.max(endAt - options.clock.now(), 0);
    isEnd = leftMs <= options.intervalMs;
    await options.clock.sleep(Math.min(options.intervalMs, leftMs), options.signal);
  }
}
