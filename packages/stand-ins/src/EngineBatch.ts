import type * as clock from '@limpettack/clock';

import type * as engineCall from './EngineCall.js';
import type * as loadHistory from './LoadHistory.js';
import type * as prefixCache from './PrefixCache.js';
import * as slotQueue from './SlotQueue.js';
import type { EngineSettings } from './Types.js';

/** Runs calls in a batch of bounded size, as continuously batching engines do. */
export class EngineBatch {
  private readonly queue: slotQueue.SlotQueue;

  public constructor(
    private readonly time: clock.Clock,
    private readonly settings: EngineSettings,
    private readonly cache: prefixCache.PrefixCache,
    private readonly load: loadHistory.LoadHistory,
  ) {
    this.queue = new slotQueue.SlotQueue(settings.slots);
  }

  /** Waits for a slot and generates. Resolves when the call has ended in any way. */
  public async run(call: engineCall.EngineCall): Promise<void> {
    const slot = this.queue.acquire(call.request.priority, call.cancelled);
    this.noteLoad();
    const hasSlot = await slot;
    this.noteLoad();
    if (!hasSlot) return;
    try {
      await this.generate(call);
    } finally {
      this.queue.release();
      this.noteLoad();
    }
  }

  private async generate(call: engineCall.EngineCall): Promise<void> {
    const { program, messages } = call.request;
    const cachedTokens = program === undefined ? 0 : this.cache.cachedTokens(program, messages);
    const newTokens = call.startPrefill(cachedTokens);
    let due = this.time.now() + newTokens * this.settings.prefillMsPerToken;
    await this.sleepUntil(due, call.cancelled);
    if (call.cancelled.aborted) return;
    if (program !== undefined) this.cache.store(program, messages);
    for (let count = 0; count < call.plannedTokens; count += 1) {
      due += this.decodeMs();
      await this.sleepUntil(due, call.cancelled);
      if (call.cancelled.aborted) return;
      call.generateToken();
    }
    call.finish();
    if (program === undefined) return;
    this.cache.store(program, [...messages, { role: 'assistant', content: call.text }]);
  }

  /** Time to generate a token in the present batch. */
  private decodeMs(): clock.Milliseconds {
    const { decodeMsPerToken, batchSlowdown, slots } = this.settings;
    const others = this.queue.running - 1;
    const fullness = slots > 1 ? others / (slots - 1) : 0;
    return decodeMsPerToken * (1 + batchSlowdown * fullness);
  }

  /** Sleeps towards a schedule, so that coarse timers do not slow the generation down. */
  private async sleepUntil(due: clock.Milliseconds, signal: AbortSignal): Promise<void> {
    const span = due - this.time.now();
    if (span > 0) await this.time.sleep(span, signal);
  }

  private noteLoad(): void {
    const { running, waiting } = this.queue;
    this.load.add({ running, waiting, heldTokens: this.cache.heldTokens });
  }
}
