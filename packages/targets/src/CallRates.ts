import type * as clock from '@limpettack/clock';
import type { CallReport } from './Types.js';

const INITIAL_PREFILL_MS_PER_TOKEN = 0.2;
const INITIAL_DECODE_MS_PER_TOKEN = 10;

/** Weight of a new value in a smoothed one. */
const SMOOTHING = 0.1;

/** Prompts with fewer uncached tokens say little about prefill. */
const LEAST_UNCACHED_TOKENS = 32;

/** A first token later than this multiple of what was expected is a delay. */
const DELAY_FACTOR = 4;

/** First tokens that come within this time are never a delay. */
const LEAST_DELAY_MS = 500;

/** Smoothed times of a target's calls. */
export class CallRates {
  private prefill = INITIAL_PREFILL_MS_PER_TOKEN;

  private decode = INITIAL_DECODE_MS_PER_TOKEN;

  private call = 0;

  private generated: number | undefined;

  /** Time to prefill a token, in milliseconds. */
  public get prefillMsPerToken(): number {
    return this.prefill;
  }

  /** Time to generate a token, in milliseconds. */
  public get decodeMsPerToken(): number {
    return this.decode;
  }

  /** Tokens that calls generate; nothing before the first. */
  public get typicalTokens(): number | undefined {
    return this.generated;
  }

  /** Time of a whole call that has no tokens. */
  public get callMs(): clock.Milliseconds {
    return this.call;
  }

  /** Takes in how a call went; true when its first token came far later than expected. */
  public learn(report: CallReport): boolean {
    const { firstTokenMs, totalMs, usage } = report;
    if (!usage || firstTokenMs === undefined) {
      this.call = this.call === 0 ? totalMs : smooth(this.call, totalMs);
      return false;
    }
    const uncached = Math.max(LEAST_UNCACHED_TOKENS, usage.promptTokens - usage.cachedTokens);
    const expectedMs = uncached * this.prefill;
    const isDelayed = firstTokenMs > Math.max(LEAST_DELAY_MS, expectedMs * DELAY_FACTOR);
    this.prefill = smooth(this.prefill, firstTokenMs / uncached);
    this.generated = smooth(this.generated ?? usage.generatedTokens, usage.generatedTokens);
    if (usage.generatedTokens > 1) {
      this.decode = smooth(this.decode, (totalMs - firstTokenMs) / (usage.generatedTokens - 1));
    }
    return isDelayed;
  }
}

function smooth(before: number, value: number): number {
  return before + (value - before) * SMOOTHING;
}
