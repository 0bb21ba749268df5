import type * as clock from '@limpettack/clock';
import type * as configuration from '@limpettack/configuration';
import type * as scheduling from '@limpettack/scheduling';
import type { CallReport } from './Types.js';
import * as cacheHints from './CacheHints.js';
import * as callRates from './CallRates.js';
import * as concurrencyLimits from './ConcurrencyLimit.js';
import * as loadEstimates from './LoadEstimate.js';
import * as targetHealth from './TargetHealth.js';

/** The status of a target that takes work. */
const READY_STATUS = 'ready';

/**
 * For how long a status counts, from the moment at which it was asked for. Shorter than the three
 * seconds after which a leaving target must get no work.
 */
const STATUS_VALID_MS = 2_500;

/** What a target says of itself. */
export interface StatusReport {
  readonly status: string;
  /** Left out by services. */
  readonly load?: loadEstimates.LoadReport;
}

/** All that this process knows of one target. */
export class TargetTracker {
  public readonly load: loadEstimates.LoadEstimate;

  public readonly health: targetHealth.TargetHealth;

  public readonly cache = new cacheHints.CacheHints();

  private readonly limit: concurrencyLimits.ConcurrencyLimit;

  private readonly rates: callRates.CallRates;

  private status = '';

  private statusAskedAt = -Infinity;

  public constructor(
    public target: configuration.Target,
    private readonly time: clock.Clock,
    random: () => number,
  ) {
    this.rates = new callRates.CallRates(time);
    this.load = new loadEstimates.LoadEstimate(time);
    this.health = new targetHealth.TargetHealth(time, random);
    this.limit = new concurrencyLimits.ConcurrencyLimit(target.slots, time);
  }

  /** Whether the target may get new work now. */
  public get mayTakeWork(): boolean {
    const isCurrent = this.time.now() - this.statusAskedAt <= STATUS_VALID_MS;
    return isCurrent && this.status === READY_STATUS && !this.health.isEjected;
  }

  /** Takes over the target's changed row. */
  public update(target: configuration.Target): void {
    this.target = target;
    this.limit.resize(target.slots);
  }

  /** Takes in a status that was asked for at the given moment. */
  public learnStatus(report: StatusReport, askedAt: clock.Milliseconds): void {
    this.status = report.status;
    this.statusAskedAt = askedAt;
    if (report.load) this.load.learn(report.load);
  }

  /** Takes in how a call ended; true when that ejects the target. */
  public learnCall(report: CallReport): boolean {
    if (report.failure === undefined) {
      const isDelayed = this.rates.learn(report);
      this.health.noteSuccess();
      if (isDelayed) this.limit.noteDelay();
      else this.limit.noteSuccess(this.load.ownInFlight);
      return false;
    }
    const weight = targetHealth.failureWeight(report.failure, report.status);
    if (weight === 0) return false;
    this.limit.noteFailure();
    return this.health.noteFailure(weight);
  }

  /** Times of the target's calls; nothing while none is recent. */
  public get learnedRates(): callRates.CallRates | undefined {
    return this.rates.isLearned ? this.rates : undefined;
  }

  /**
   * The target as the scheduler sees it for a call. A target that has run nothing lately is taken to
   * be as fast as another one, if given, so that it seems neither cheap for want of experience nor
   * slow for good.
   */
  public candidate(
    call: scheduling.CallDescription,
    similar?: callRates.CallRates,
  ): scheduling.TargetCandidate {
    const rates = this.learnedRates ?? similar ?? this.rates;
    const { typicalTokens } = rates;
    return {
      name: this.target.name,
      failureDomain: this.target.failureDomain,
      slots: this.target.slots,
      ownInFlight: this.load.ownInFlight,
      otherInFlight: this.load.otherInFlight,
      concurrencyLimit: this.limit.current,
      cachedTokens: Math.min(call.promptTokens, this.cache.cachedTokens(call.program)),
      prefillMsPerToken: rates.prefillMsPerToken,
      decodeMsPerToken: rates.decodeMsPerToken,
      callMs: this.rates.callMs,
      ...(typicalTokens === undefined ? {} : { typicalTokens }),
    };
  }
}
