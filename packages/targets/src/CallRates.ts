import type * as clock from '@limpettack/clock';
import type { CallReport } from './Types.js';

const INITIAL_PREFILL_MS_PER_TOKEN = 0.2;
const INITIAL_DECODE_MS_PER_TOKEN = 10;

/**
 * For how long times count without a further call. A target that seemed slow gets no calls that
 * could show that it is not any more; half of the time within which callers expect its return.
 */
const VALID_MS = 5_000;

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
  /** Smoothed uncached tokens of a prompt, and the smoothed time to prefill them. */
  private uncachedTokens = 1;

  private prefillMs = INITIAL_PREFILL_MS_PER_TOKEN;

  private decode = INITIAL_DECODE_MS_PER_TOKEN;

  private call = 0;

  private generated: number | undefined;

  /** Calls with tokens that have been taken in. */
  private count = 0;

  private learnedAt = -Infinity;

  public constructor(private readonly time: clock.Clock) {}

  /** Time to prefill a token, in milliseconds. */
  public get prefillMsPerToken(): number {
    return this.prefillMs / this.uncachedTokens;
  }

  /** Time to generate a token, in milliseconds. */
  public get decodeMsPerToken(): number {
    return this.decode;
  }

  /** Whether calls have shown lately how fast the target is. */
  public get isLearned(): boolean {
    return this.count > 0 && this.time.now() - this.learnedAt <= VALID_MS;
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
      this.call = this.call === 0 ? totalMs : smooth(this.call, totalMs, SMOOTHING);
      return false;
    }
    const uncached = Math.max(LEAST_UNCACHED_TOKENS, usage.promptTokens - usage.cachedTokens);
    const expectedMs = uncached * this.prefillMsPerToken;
    const isDelayed = firstTokenMs > Math.max(LEAST_DELAY_MS, expectedMs * DELAY_FACTOR);
    // The first calls are averaged, so that a guess does not count on beside them.
    this.count += 1;
    this.learnedAt = this.time.now();
    const weight = Math.max(SMOOTHING, 1 / this.count);
    this.generated = smooth(this.generated ?? 0, usage.generatedTokens, weight);
    if (usage.generatedTokens > 1) {
      const decodeMs = (totalMs - firstTokenMs) / (usage.generatedTokens - 1);
      this.decode = smooth(this.decode, decodeMs, weight);
    }
    // The two are smoothed apart, since short prompts would else count as much as long ones, and
    // the first token is itself generated after the prefill.
    this.prefillMs = smooth(this.prefillMs, Math.max(0, firstTokenMs - this.decode), weight);
    this.uncachedTokens = smooth(this.uncachedTokens, uncached, weight);
    return isDelayed;
  }
}

function smooth(before: number, value: number, weight: number): number {
  return before + (value - before) * weight;
}
