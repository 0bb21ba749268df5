import type * as clock from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import type * as membership from '@limpettack/membership';
import type * as metrics from '@limpettack/metrics';
import type * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';
import * as loadCollectors from './loadCollectors.js';
import * as messages from './messages.js';
import * as responseMeasurement from './ResponseMeasurement.js';
import * as routeTimes from './RouteTimes.js';
import * as targetLoadEstimates from './TargetLoadEstimates.js';
import type * as targetRegistry from './TargetRegistry.js';
import type * as targetScores from './TargetScores.js';
import type * as targetSelector from './TargetSelector.js';
import type * as targetSender from './TargetSender.js';
import * as targetWeight from './targetWeight.js';
import type { Target, TargetRequest } from './Types.js';

/** Interval between two reports. */
const REPORT_INTERVAL_MS = 1_000;

/** A collector that does not respond within the timeout is skipped for a while. */
const REPORT_TIMEOUT_MS = 300;
const SKIP_MS = 2_000;

/** The time for which a view of a target is used; several reports in a row may fail. */
const VIEW_LIFETIME_MS = 5_000;

/** Minimum age at which the collector computes its view again, however many VMs report. */
const VIEW_INTERVAL_MS = 200;

/** Dependencies of `TargetLoads`. */
export interface TargetLoadsOptions {
  readonly network: wire.PeerNetwork;
  readonly membership: Pick<membership.Membership, 'available'>;
  readonly registry: Pick<targetRegistry.TargetRegistry, 'find' | 'onRemoved'>;
  readonly scores: Pick<targetScores.TargetScores, 'inFlightCounts'>;
  readonly metrics: Pick<metrics.Metrics, 'gauge'>;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
}

/** What a collector has reported of a known target. */
interface KnownLoad {
  readonly collector: string;
  readonly isSlow: boolean;
  readonly receivedAt: clock.Milliseconds;
}

interface ComputedView {
  readonly view: messages.TargetLoadView;
  readonly computedAt: clock.Milliseconds;
}

/**
 * Shares the pace and load of targets. In a large fleet each VM sends a target a request every half
 * minute only, so its own counts do not show which targets are slow or busy.
 *
 * While it has requests, a VM reports what it measures to the collector of its group once per second.
 * The collector responds with the targets that are slow or busy, and the VM reduces their weights.
 */
export class TargetLoads
  implements lifetime.Disposable, targetSelector.TargetWeights, targetSender.ResponseRecorder
{
  private readonly store = new lifetime.DisposableStore();

  private readonly times = new routeTimes.RouteTimes();

  private readonly estimates = new targetLoadEstimates.TargetLoadEstimates();

  private readonly skippedUntil = new Map<string, clock.Milliseconds>();

  private samples: messages.TargetLoadReport['samples'] = [];

  /** Whether the last report had requests in flight, so that one more report has to end them. */
  private hasReportedInFlight = false;

  /** The current view, with the targets of `weights`. */
  private readonly loads = new Map<string, KnownLoad>();

  private readonly weights = new Map<string, number>();

  /** The view that this VM computed last as a collector. */
  private computed: ComputedView | undefined;

  private timer: clock.Timer | undefined;

  private movedPlacements = 0;

  public constructor(private readonly options: TargetLoadsOptions) {
    const { metrics: gauges, network, registry } = options;
    this.store.add(
      network.serve(messages.TARGET_LOADS, async (report, { name }) =>
        trueMyth.Result.ok(this.collect(name, report)),
      ),
    );
    this.store.add(registry.onRemoved((target) => this.discard(target)));
    this.store.addCallback(() => this.timer?.cancel());
    gauges.gauge('limpettack_slow_targets', 'Targets that are slow in the current view.', () =>
      this.slowCount(),
    );
    gauges.gauge(
      'limpettack_moved_placements_total',
      'Requests that were placed on another target because of weights.',
      () => this.movedPlacements,
    );
  }

  /** @inheritdoc */
  public async dispose(): Promise<void> {
    await this.store.dispose();
  }

  /** @inheritdoc */
  public begin({ route }: TargetRequest): responseMeasurement.ResponseMeasurement | undefined {
    this.startTimer();
    if (route === undefined) return undefined;
    const { clock: time } = this.options;
    return new responseMeasurement.ResponseMeasurement({ route, times: this.times, clock: time });
  }

  /** @inheritdoc */
  public record(target: Target, measurement: responseMeasurement.ResponseMeasurement): void {
    const sample = measurement.finish();
    const { id, incarnation } = target;
    if (sample === undefined || !isInBounds(sample.value)) return;
    if (!isReportable(id) || !isReportable(incarnation)) return;
    const latest = this.samples.slice(1 - messages.MAXIMUM_REPORT_ITEMS);
    this.samples = [...latest, { target: id, incarnation, ...sample }];
    this.startTimer();
  }

  /** @inheritdoc */
  public current(): ReadonlyMap<string, number> {
    this.discardOld();
    return this.weights;
  }

  /** @inheritdoc */
  public countMoved(): void {
    this.movedPlacements += 1;
  }

  private slowCount(): number {
    this.discardOld();
    return [...this.loads.values()].filter(({ isSlow }) => isSlow).length;
  }

  private discardOld(): void {
    const now = this.options.clock.now();
    this.loads.forEach(({ receivedAt }, target) => {
      if (now - receivedAt > VIEW_LIFETIME_MS) this.discardLoad(target);
    });
  }

  private discardLoad(target: string): void {
    this.loads.delete(target);
    this.weights.delete(target);
  }

  private startTimer(): void {
    if (this.store.isDisposed) return;
    this.timer ??= this.options.clock.startTimer(REPORT_INTERVAL_MS, () => {
      this.timer = undefined;
      this.report();
    });
  }

  /** Reports to the collector, unless there is nothing to report. */
  private async report(): Promise<void> {
    const report = this.takeReport();
    if (report === undefined) return;
    this.startTimer();
    const { clock: time, logger, membership: members, network } = this.options;
    const { groupCount, ranked } = loadCollectors.loadCollectors(
      network.self.name,
      members.available(),
    );
    const now = time.now();
    this.skippedUntil.forEach((until, name) => {
      if (until <= now) this.skippedUntil.delete(name);
    });
    const collector = ranked.find(({ name }) => !this.skippedUntil.has(name));
    if (collector === undefined) return;
    if (collector.name === network.self.name) {
      this.accept(collector.name, this.collect(collector.name, report), groupCount);
      return;
    }
    const options = { timeoutMs: REPORT_TIMEOUT_MS };
    const response = await network.request(
      collector.address,
      messages.TARGET_LOADS,
      report,
      options,
    );
    if (response.isOk) {
      this.accept(collector.name, response.value, groupCount);
      return;
    }
    this.skippedUntil.set(collector.name, time.now() + SKIP_MS);
    logger.debug('The collector of target loads did not respond.', {
      peer: collector.name,
      reason: response.error.message,
    });
  }

  private takeReport(): messages.TargetLoadReport | undefined {
    const { samples } = this;
    const inFlight = this.options.scores
      .inFlightCounts()
      .filter(({ target }) => isReportable(target))
      .sort((left, right) => right.count - left.count)
      .slice(0, messages.MAXIMUM_REPORT_ITEMS);
    if (samples.length === 0 && inFlight.length === 0 && !this.hasReportedInFlight)
      return undefined;
    this.hasReportedInFlight = inFlight.length > 0;
    this.samples = [];
    return { samples, inFlight };
  }

  /**
   * Applies a view. It replaces what the same collector has reported before. What others have
   * reported is kept until it expires, because a collector that has just taken over has no data.
   */
  private accept(
    collector: string,
    { targets }: messages.TargetLoadView,
    groupCount: number,
  ): void {
    const { clock: time, registry } = this.options;
    const receivedAt = time.now();
    this.loads.forEach((load, target) => {
      if (load.collector === collector) this.discardLoad(target);
    });
    targets.forEach(({ incarnation, inFlight, pace, target }) => {
      const known = registry.find(target);
      if (known?.incarnation !== incarnation) return;
      this.loads.set(target, { collector, isSlow: pace > 1, receivedAt });
      const weight = targetWeight.targetWeight({ pace, inFlight }, known.slots, groupCount);
      this.weights.set(target, weight);
    });
  }

  /** Records a report and returns the view of this collector. */
  private collect(vm: string, report: messages.TargetLoadReport): messages.TargetLoadView {
    const { clock: time, membership: members, network, registry } = this.options;
    const now = time.now();
    const find = registry.find.bind(registry);
    this.estimates.note(vm, report, now, find);
    if (this.computed !== undefined && now - this.computed.computedAt < VIEW_INTERVAL_MS)
      return this.computed.view;
    const { groupCount } = loadCollectors.loadCollectors(network.self.name, members.available());
    const { changes, targets } = this.estimates.view(groupCount, now, find);
    changes.forEach((change) => this.logChange(change));
    this.computed = { view: { targets }, computedAt: now };
    return this.computed.view;
  }

  private logChange({ isSlow, pace, samples, target }: targetLoadEstimates.PaceChange): void {
    const values = samples.map(({ value, vm }) => `${value.toPrecision(3)} of ${vm}`);
    const [sample] = samples;
    this.options.logger.info('The pace of a target has changed.', {
      target: target.id,
      kind: isSlow ? 'slow' : 'normal',
      count: samples.length,
      reason: `pace ${pace.toFixed(2)}; ${sample?.kind ?? 'no'} samples ${values.join(', ')}`,
    });
  }

  private discard({ id }: Target): void {
    this.samples = this.samples.filter(({ target }) => target !== id);
    this.discardLoad(id);
    this.estimates.discard(id);
  }
}

function isReportable(name: string): boolean {
  return name.length <= messages.MAXIMUM_REPORTED_CHARACTERS;
}

function isInBounds(value: number): boolean {
  return value >= messages.MINIMUM_SAMPLE_VALUE && value <= messages.MAXIMUM_SAMPLE_VALUE;
}
