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
 * How long a status is valid after it was requested. Shorter than the three seconds after which a
 * leaving target must get no work.
 */
const STATUS_VALIDITY_MS = 2_500;

/** The status that a target reports. */
export interface StatusReport {
  readonly status: string;
  /** Omitted by services. */
  readonly load?: loadEstimates.LoadReport;
}

/** State that this process tracks for one target. */
export class TargetTracker {
  public readonly load: loadEstimates.LoadEstimate;

  public readonly health: targetHealth.TargetHealth;

  public readonly cache = new cacheHints.CacheHints();

  private readonly limit: concurrencyLimits.ConcurrencyLimit;

  private readonly rates: callRates.CallRates;

  private status = '';

  private statusRequestedAt = -Infinity;

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
    const isCurrent = this.time.now() - this.statusRequestedAt <= STATUS_VALIDITY_MS;
    return isCurrent && this.status === READY_STATUS && !this.health.isEjected;
  }

  /** Applies a changed configuration of the target. */
  public update(target: configuration.Target): void {
    this.target = target;
    this.limit.resize(target.slots);
  }

  /** Records a status that was requested at the given time. */
  public recordStatus(report: StatusReport, requestedAt: clock.Milliseconds): void {
    this.status = report.status;
    this.statusRequestedAt = requestedAt;
    if (report.load) this.load.applyReport(report.load);
  }

  /** Records the outcome of a call. Returns true if it ejects the target. */
  public recordCall(report: CallReport): boolean {
    if (report.failure === undefined) {
      const isDelayed = this.rates.record(report);
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

  /** Measured rates of the target's calls; undefined if no call was recent. */
  public get recentRates(): callRates.CallRates | undefined {
    return this.rates.hasRecentSample ? this.rates : undefined;
  }

  /**
   * Returns the target as a scheduling candidate for a call. If the target has no recent calls,
   * the rates of `similar` are used when given. The target's own rates are then either initial
   * estimates, which could make a new target look cheap, or outdated, which could make it look slow
   * forever.
   */
  public candidate(
    call: scheduling.CallDescription,
    similar?: callRates.CallRates,
  ): scheduling.TargetCandidate {
    const rates = this.recentRates ?? similar ?? this.rates;
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
      overheadMs: this.rates.callMs,
      ...(typicalTokens === undefined ? {} : { typicalTokens }),
    };
  }
}
