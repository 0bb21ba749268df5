import type * as clock from '@limpettack/clock';
import * as messages from './messages.js';
import type * as responseMeasurement from './ResponseMeasurement.js';
import * as sampleKinds from './SampleKinds.js';
import * as targetWeight from './targetWeight.js';
import type { SampleKind, Target } from './Types.js';

/** The latest samples of a target that are kept, in total and from the same VM. */
const MAXIMUM_SAMPLES = 9;
const MAXIMUM_SAMPLES_OF_VM = 3;

/** Samples are discarded at this age. */
const SAMPLE_LIFETIME_MS = 30_000;

/** The in-flight report of a VM is discarded at this age; two reports may be lost. */
const IN_FLIGHT_LIFETIME_MS = 2_500;

/** A target is compared with its pool only if this number of its targets have samples. */
const MINIMUM_TARGETS = 3;

/** A target needs this number of samples to become slow. */
const MINIMUM_SAMPLES = 5;

/** The paces above which a target becomes slow, and below which it is normal again. */
const SLOW_PACE = 1.4;
const NORMAL_PACE = 1.25;

/** A sample with its origin. */
interface NotedSample extends responseMeasurement.ResponseSample {
  readonly vm: string;
  readonly at: clock.Milliseconds;
}

interface InFlightReport {
  readonly counts: Map<string, number>;
  readonly at: clock.Milliseconds;
}

/** Returns the known target with an id. */
export type FindTarget = (id: string) => Target | undefined;

/** The pace of a target and the values from which it was computed. */
interface Pace {
  readonly pace: number;
  readonly samples: readonly NotedSample[];
}

/** A target that has become slow or normal. */
export interface PaceChange extends Pace {
  readonly target: Target;
  readonly isSlow: boolean;
}

/** The collector's view, and what has changed since the view before. */
export interface LoadView {
  readonly targets: messages.LoadedTarget[];
  readonly changes: readonly PaceChange[];
}

/**
 * Estimates the pace and load of targets from the reports of VMs. The load that this addresses: some
 * targets are lastingly slow, while part of all responses take longer for no lasting reason, and a
 * VM that is slow measures all targets as slow. Therefore only medians over several VMs count.
 */
export class TargetLoadEstimates {
  /** The samples of each target, the oldest first. */
  private readonly samples = new Map<string, NotedSample[]>();

  private readonly inFlight = new Map<string, InFlightReport>();

  private readonly slow = new Set<string>();

  /** Records a report. Samples of unknown targets and other processes are ignored. */
  public note(
    vm: string,
    report: messages.TargetLoadReport,
    now: clock.Milliseconds,
    find: FindTarget,
  ): void {
    report.samples
      .filter(({ incarnation, target }) => find(target)?.incarnation === incarnation)
      .forEach(({ kind, target, value }) => this.noteSample(target, { kind, value, vm, at: now }));
    const counts = report.inFlight.map(({ count, target }) => [target, count] as const);
    this.inFlight.set(vm, { counts: new Map(counts), at: now });
  }

  /** The known targets that are slow or busy, those with the least weight first. */
  public view(groupCount: number, now: clock.Milliseconds, find: FindTarget): LoadView {
    this.discardOld(now);
    const targets = this.ids().flatMap((id) => find(id) ?? []);
    const paces = this.paces(targets);
    const changes = targets.flatMap(
      (target) => this.updateSlow(target, paces.get(target.id)) ?? [],
    );
    const loaded = targets
      .map((target) => {
        const pace = this.slow.has(target.id) ? (paces.get(target.id)?.pace ?? 1) : 1;
        const count = this.countInFlight(target.id);
        const inFlight = targetWeight.isBusy(count * groupCount, target.slots) ? count : 0;
        const weight = targetWeight.targetWeight({ pace, inFlight }, target.slots, groupCount);
        return { target, pace, inFlight, weight };
      })
      .filter(({ inFlight, pace }) => pace !== 1 || inFlight > 0)
      .sort((left, right) => left.weight - right.weight)
      .slice(0, messages.MAXIMUM_VIEW_TARGETS)
      .map(({ inFlight, pace, target: { id, incarnation } }) => ({
        target: id,
        incarnation,
        pace,
        inFlight,
      }));
    return { targets: loaded, changes };
  }

  /** Discards what is known of a process that has ended. */
  public discard(target: string): void {
    this.samples.delete(target);
    this.slow.delete(target);
    this.inFlight.forEach(({ counts }) => counts.delete(target));
  }

  private ids(): readonly string[] {
    const loaded = [...this.inFlight.values()].flatMap(({ counts }) => [...counts.keys()]);
    return [...new Set([...this.samples.keys(), ...this.slow, ...loaded])];
  }

  private noteSample(target: string, sample: NotedSample): void {
    const known = [...(this.samples.get(target) ?? []), sample];
    const ofVm = known.filter(({ vm }) => vm === sample.vm);
    const surplus = ofVm.slice(0, -MAXIMUM_SAMPLES_OF_VM);
    const kept = known.filter((other) => !surplus.includes(other)).slice(-MAXIMUM_SAMPLES);
    this.samples.set(target, kept);
  }

  private discardOld(now: clock.Milliseconds): void {
    this.samples.forEach((samples, target) => {
      const kept = samples.filter(({ at }) => now - at <= SAMPLE_LIFETIME_MS);
      if (kept.length === 0) this.samples.delete(target);
      else if (kept.length < samples.length) this.samples.set(target, kept);
    });
    this.inFlight.forEach(({ at }, vm) => {
      if (now - at > IN_FLIGHT_LIFETIME_MS) this.inFlight.delete(vm);
    });
  }

  /** Returns whether a target has become slow or normal; undefined if neither. */
  private updateSlow(target: Target, measured: Pace | undefined): PaceChange | undefined {
    const { pace, samples } = measured ?? { pace: 1, samples: [] };
    const wasSlow = this.slow.has(target.id);
    const isSlow = wasSlow ? pace >= NORMAL_PACE : pace > SLOW_PACE && areConclusive(samples);
    if (isSlow === wasSlow) return undefined;
    if (isSlow) this.slow.add(target.id);
    else this.slow.delete(target.id);
    return { target, pace, samples, isSlow };
  }

  /** The paces of the targets with samples in pools where they can be compared. */
  private paces(targets: readonly Target[]): ReadonlyMap<string, Pace> {
    const paces = new Map<string, Pace>();
    groupByPool(targets).forEach((pool) => {
      Object.values(sampleKinds.SAMPLE_KINDS).forEach((kind) => {
        const medians = pool.flatMap(({ id }) => this.medianOf(id, kind) ?? []);
        const normal =
          medians.length < MINIMUM_TARGETS
            ? undefined
            : medianOf(medians.map(({ value }) => value));
        medians.forEach(({ samples, target, value }) => {
          const isMain = samples.length > (paces.get(target)?.samples.length ?? 0);
          if (normal !== undefined && isMain) paces.set(target, { pace: value / normal, samples });
        });
      });
    });
    return paces;
  }

  private medianOf(
    target: string,
    kind: SampleKind,
  ): { target: string; samples: readonly NotedSample[]; value: number } | undefined {
    const samples = (this.samples.get(target) ?? []).filter((sample) => sample.kind === kind);
    const value = medianOf(samples.map((sample) => sample.value));
    return value === undefined ? undefined : { target, samples, value };
  }

  private countInFlight(target: string): number {
    return [...this.inFlight.values()].reduce(
      (sum, { counts }) => sum + (counts.get(target) ?? 0),
      0,
    );
  }
}

/** Whether there are enough samples, at most half of them from the same VM, which may be slow. */
function areConclusive(samples: readonly NotedSample[]): boolean {
  const most = Math.max(
    ...samples.map(({ vm }) => samples.filter((other) => other.vm === vm).length),
  );
  return samples.length >= MINIMUM_SAMPLES && most <= samples.length / 2;
}

function groupByPool(targets: readonly Target[]): ReadonlyMap<string, readonly Target[]> {
  const pools = new Map<string, Target[]>();
  targets.forEach((target) => {
    const pool = pools.get(target.pool);
    if (pool === undefined) pools.set(target.pool, [target]);
    else pool.push(target);
  });
  return pools;
}

/** The lower of the two middle values if their number is even. */
function medianOf(values: readonly number[]): number | undefined {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) / 2)];
}
