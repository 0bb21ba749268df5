import type * as clock from '@limpettack/clock';
import type * as configuration from '@limpettack/configuration';
import * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import type * as scheduling from '@limpettack/scheduling';
import type { CallReport, TargetDirectory, TargetReader } from './Types.js';
import * as targetFollowers from './TargetFollower.js';
import * as targetTrackers from './TargetTracker.js';

/** Dependencies of the directory. */
export interface PoolTargetDirectoryOptions {
  readonly configuration: Pick<configuration.ConfigurationView, 'current' | 'onChange'>;
  readonly reader: TargetReader;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  /** Returns a number between 0 and 1, for jitter. */
  readonly random: () => number;
}

interface FollowedTarget {
  readonly tracker: targetTrackers.TargetTracker;
  readonly follower: targetFollowers.TargetFollower;
  readonly url: string;
  readonly kind: configuration.Pool['kind'];
}

/** The targets of the current configuration, each polled by its own follower. */
export class PoolTargetDirectory implements TargetDirectory {
  private readonly followedTargets = new Map<string, FollowedTarget>();

  private readonly disposables = new lifetime.DisposableStore();

  private readonly roomEmitter = new lifetime.Emitter<string>();

  private readonly unreachableEmitter = new lifetime.Emitter<string>();

  /** @inheritdoc */
  public readonly onCapacity = this.roomEmitter.event;

  /** @inheritdoc */
  public readonly onUnreachable = this.unreachableEmitter.event;

  public constructor(private readonly options: PoolTargetDirectoryOptions) {
    this.disposables.add(this.roomEmitter);
    this.disposables.add(this.unreachableEmitter);
    this.disposables.addCallback(() =>
      this.followedTargets.forEach((followed) => followed.follower.dispose()),
    );
    this.disposables.add(options.configuration.onChange(() => this.followConfiguration()));
    this.followConfiguration();
  }

  /** @inheritdoc */
  public find(target: string): configuration.Target | undefined {
    return this.followedTargets.get(target)?.tracker.target;
  }

  /** @inheritdoc */
  public targetsOfPool(pool: string): readonly configuration.Target[] {
    return this.options.configuration.current().pools.get(pool)?.targets ?? [];
  }

  /** @inheritdoc */
  public mayTakeWork(target: string): boolean {
    return this.followedTargets.get(target)?.tracker.mayTakeWork ?? false;
  }

  /** @inheritdoc */
  public candidates(call: scheduling.CallDescription): readonly scheduling.TargetCandidate[] {
    const trackers = this.targetsOfPool(call.pool).flatMap((target) => {
      const tracker = this.followedTargets.get(target.name)?.tracker;
      return tracker?.mayTakeWork ? [tracker] : [];
    });
    const similar = trackers.find((tracker) => tracker.recentRates)?.recentRates;
    const ready = trackers
      .filter((tracker) => !call.excluded.has(tracker.target.name))
      .map((tracker) => tracker.candidate(call, similar));
    return rotateByCallId(ready, call.callId);
  }

  /** @inheritdoc */
  public begin(call: scheduling.CallDescription, target: string): lifetime.Disposable {
    const tracker = this.followedTargets.get(target)?.tracker;
    if (!tracker) return { dispose: () => undefined };
    let isRunning = true;
    tracker.load.changeOwnCount(1);
    return {
      dispose: () => {
        if (!isRunning) return;
        isRunning = false;
        tracker.load.changeOwnCount(-1);
        this.roomEmitter.fire(call.pool);
      },
    };
  }

  /** @inheritdoc */
  public report(report: CallReport): void {
    const followed = this.followedTargets.get(report.target);
    if (!followed) return;
    const isEjected = followed.tracker.recordCall(report);
    if (isEjected) {
      const fields = { target: report.target, ...(report.failure ? { kind: report.failure } : {}) };
      this.options.logger.warn('A target is ejected after failed calls.', fields);
    }
    // A failed call may mean that the target is down, so its status is polled immediately.
    if (report.failure !== undefined) followed.follower.pollNow();
  }

  /** @inheritdoc */
  public noteCached(target: string, program: string, tokens: number): void {
    this.followedTargets.get(target)?.tracker.cache.recordCached(program, tokens);
  }

  /** @inheritdoc */
  public dispose(): Promise<void> {
    return this.disposables.dispose();
  }

  /** Starts and stops followers so that exactly the configured targets are followed. */
  private followConfiguration(): void {
    const { pools } = this.options.configuration.current();
    const configured = new Set<string>();
    pools.forEach((pool) => {
      pool.targets.forEach((target) => {
        if (configured.has(target.name)) return;
        configured.add(target.name);
        this.followTarget(target, pool);
      });
    });
    [...this.followedTargets.keys()]
      .filter((name) => !configured.has(name))
      .forEach((name) => this.stopFollowing(name));
    pools.forEach((pool) => this.roomEmitter.fire(pool.name));
  }

  private followTarget(target: configuration.Target, pool: configuration.Pool): void {
    const followed = this.followedTargets.get(target.name);
    if (followed && followed.url === target.url && followed.kind === pool.kind) {
      followed.tracker.update(target);
      return;
    }
    this.stopFollowing(target.name);
    const { clock: time, logger, random, reader } = this.options;
    const tracker = new targetTrackers.TargetTracker(target, time, random);
    const follower = new targetFollowers.TargetFollower({
      tracker,
      kind: pool.kind,
      reader,
      clock: time,
      logger,
      random,
      onRoom: () => this.fireRoomOf(target.name),
      onUnreachable: () => this.unreachableEmitter.fire(target.name),
    });
    this.followedTargets.set(target.name, { tracker, follower, url: target.url, kind: pool.kind });
  }

  private stopFollowing(name: string): void {
    this.followedTargets.get(name)?.follower.dispose();
    this.followedTargets.delete(name);
  }

  private fireRoomOf(target: string): void {
    this.options.configuration.current().pools.forEach((pool) => {
      if (pool.targets.some((other) => other.name === target)) this.roomEmitter.fire(pool.name);
    });
  }
}

/**
 * Rotates the candidates by an offset derived from the call, so that processes do not all choose the
 * first of several equal targets.
 */
function rotateByCallId<Item>(items: readonly Item[], callId: string): readonly Item[] {
  if (items.length < 2) return items;
  const sum = [...callId].reduce((total, letter) => total + letter.charCodeAt(0), 0);
  const start = sum % items.length;
  return [...items.slice(start), ...items.slice(0, start)];
}
