import type * as clock from '@limpettack/clock';

import type * as engineCall from './EngineCall.js';
import type * as loadHistory from './LoadHistory.js';
import type * as prefixCache from './PrefixCache.js';
import * as slotQueue from './SlotQueue.js';
import type { EngineSettings } from './Types.js';

/** Runs calls in a batch of bounded size, like an engine with continuous batching. */
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

  /** Waits for a slot and generates the tokens. Resolves when the call has ended in any way. */
  public async run(call: engineCall.EngineCall): Promise<void> {
    const slot = this.queue.acquire(call.request.priority, call.cancelled);
    this.recordLoad();
    const hasSlot = await slot;
    this.recordLoad();
    if (!hasSlot) return;
    try {
      await this.generate(call);
    } finally {
      this.queue.release();
      this.recordLoad();
    }
  }

  private async generate(call: engineCall.EngineCall): Promise<void> {
    const { program, messages } = call.request;
    const cachedTokens = program === undefined ? 0 : this.cache.cachedTokens(program, messages);
    const uncachedTokens = call.startPrefill(cachedTokens);
    let dueAt = this.time.now() + uncachedTokens * this.settings.prefillMsPerToken;
    await this.sleepUntil(dueAt, call.cancelled);
    if (call.cancelled.aborted) return;
    if (program !== undefined) this.cache.store(program, messages);
    for (let count = 0; count < call.plannedTokens; count += 1) {
      dueAt += this.decodeMs();
      await this.sleepUntil(dueAt, call.cancelled);
      if (call.cancelled.aborted) return;
      call.generateToken();
    }
    call.finish();
    if (program === undefined) return;
    this.cache.store(program, [...messages, { role: 'assistant', content: call.text }]);
  }

  /** Time to generate one token with the current batch size, in milliseconds. */
  private decodeMs(): clock.Milliseconds {
    const { decodeMsPerToken, batchSlowdown, slots } = this.settings;
    const others = this.queue.running - 1;
    const occupancy = slots > 1 ? others / (slots - 1) : 0;
    return decodeMsPerToken * (1 + batchSlowdown * occupancy);
  }

  /** Sleeps until an absolute time. Timer inaccuracy therefore does not add up over the tokens. */
  private async sleepUntil(dueAt: clock.Milliseconds, signal: AbortSignal): Promise<void> {
    const sleepMs = dueAt - this.time.now();
    if (sleepMs > 0) await this.time.sleep(sleepMs, signal);
  }

  private recordLoad(): void {
    const { running, waiting } = this.queue;
    this.load.add({ running, waiting, heldTokens: this.cache.heldTokens });
  }
}
