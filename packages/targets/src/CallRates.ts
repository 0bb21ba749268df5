import type * as clock from '@limpettack/clock';
import type { CallReport } from './Types.js';

const INITIAL_PREFILL_MS_PER_TOKEN = 0.2;
const INITIAL_DECODE_MS_PER_TOKEN = 10;

/**
 * How long samples are valid after the last call. A target that looks slow gets no calls, so no new
 * sample could correct this. Half of the time within which callers expect it to be used again.
 */
const VALIDITY_MS = 5_000;

/** Weight of a new sample in a smoothed value. */
const SMOOTHING = 0.1;

/** Prefill times of prompts with fewer uncached tokens are not representative. */
const MINIMUM_UNCACHED_TOKENS = 32;

/** A first token is delayed if it takes longer than this multiple of the expected time. */
const DELAY_FACTOR = 4;

/** A first token within this time is never treated as delayed. */
const MINIMUM_DELAY_MS = 500;

/** Smoothed durations of a target's calls, per token and per call. */
export class CallRates {
  /** Smoothed number of uncached tokens of a prompt; `prefillMs` is the time to prefill them. */
  private uncachedTokens = 1;

  private prefillMs = INITIAL_PREFILL_MS_PER_TOKEN;

  private smoothedDecodeMs = INITIAL_DECODE_MS_PER_TOKEN;

  private smoothedCallMs = 0;

  private smoothedGeneratedTokens: number | undefined;

  /** Number of recorded calls with token usage. */
  private sampleCount = 0;

  private lastSampleAt = -Infinity;

  public constructor(private readonly time: clock.Clock) {}

  /** Time to prefill a token, in milliseconds. */
  public get prefillMsPerToken(): number {
    return this.prefillMs / this.uncachedTokens;
  }

  /** Time to generate a token, in milliseconds. */
  public get decodeMsPerToken(): number {
    return this.smoothedDecodeMs;
  }

  /** Whether the last sample is still valid. */
  public get hasRecentSample(): boolean {
    return this.sampleCount > 0 && this.time.now() - this.lastSampleAt <= VALIDITY_MS;
  }

  /** Smoothed number of generated tokens per call; undefined before the first sample. */
  public get typicalTokens(): number | undefined {
    return this.smoothedGeneratedTokens;
  }

  /** Smoothed duration of calls without token usage; 0 before the first one. */
  public get callMs(): clock.Milliseconds {
    return this.smoothedCallMs;
  }

  /** Records a call. Returns true if its first token took far longer than expected. */
  public record(report: CallReport): boolean {
    const { firstTokenMs, totalMs, usage } = report;
    if (!usage || firstTokenMs === undefined) {
      this.smoothedCallMs =
        this.smoothedCallMs === 0 ? totalMs : smooth(this.smoothedCallMs, totalMs, SMOOTHING);
      return false;
    }
    const uncached = Math.max(MINIMUM_UNCACHED_TOKENS, usage.promptTokens - usage.cachedTokens);
    const expectedMs = uncached * this.prefillMsPerToken;
    const isDelayed = firstTokenMs > Math.max(MINIMUM_DELAY_MS, expectedMs * DELAY_FACTOR);
    // The first samples are averaged, so the initial guess has no weight.
    this.sampleCount += 1;
    this.lastSampleAt = this.time.now();
    const weight = Math.max(SMOOTHING, 1 / this.sampleCount);
    this.smoothedGeneratedTokens = smooth(
      this.smoothedGeneratedTokens ?? 0,
      usage.generatedTokens,
      weight,
    );
    if (usage.generatedTokens > 1) {
      const decodeMs = (totalMs - firstTokenMs) / (usage.generatedTokens - 1);
      this.smoothedDecodeMs = smooth(this.smoothedDecodeMs, decodeMs, weight);
    }
    // Time and tokens are smoothed separately, since smoothing their quotient would give short
    // prompts the weight of long ones. The decoding of the first token is not part of the prefill.
    this.prefillMs = smooth(
      this.prefillMs,
      Math.max(0, firstTokenMs - this.smoothedDecodeMs),
      weight,
    );
    this.uncachedTokens = smooth(this.uncachedTokens, uncached, weight);
    return isDelayed;
  }
}

function smooth(before: number, value: number, weight: number): number {
  return before + (value - before) * weight;
}
