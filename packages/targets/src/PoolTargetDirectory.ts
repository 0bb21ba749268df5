import type * as clock from '@limpettack/clock';
import type * as configuration from '@limpettack/configuration';
import * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import type * as scheduling from '@limpettack/scheduling';
import type { CallReport, TargetDirectory, TargetReader } from './Types.js';
import * as targetFollowers from './TargetFollower.js';
import * as targetTrackers from './TargetTracker.js';

/** What the directory needs. */
export interface PoolTargetDirectoryOptions {
  readonly configuration: Pick<configuration.ConfigurationView, 'current' | 'onChange'>;
  readonly reader: TargetReader;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  /** Between 0 and 1, for jitter. */
  readonly random: () => number;
}

interface Member {
  readonly tracker: targetTrackers.TargetTracker;
  readonly follower: targetFollowers.TargetFollower;
  readonly url: string;
  readonly kind: configuration.Pool['kind'];
}

/** The targets of the configuration in force, each followed by a task of its own. */
export class PoolTargetDirectory implements TargetDirectory {
  private readonly members = new Map<string, Member>();

  private readonly owned = new lifetime.DisposableStore();

  private readonly room = new lifetime.Emitter<string>();

  private readonly unreachable = new lifetime.Emitter<string>();

  /** @inheritdoc */
  public readonly onRoom = this.room.event;

  /** @inheritdoc */
  public readonly onUnreachable = this.unreachable.event;

  public constructor(private readonly options: PoolTargetDirectoryOptions) {
    this.owned.add(this.room);
    this.owned.add(this.unreachable);
    this.owned.addCallback(() => this.members.forEach((member) => member.follower.dispose()));
    this.owned.add(options.configuration.onChange(() => this.follow()));
    this.follow();
  }

  /** @inheritdoc */
  public find(target: string): configuration.Target | undefined {
    return this.members.get(target)?.tracker.target;
  }

  /** @inheritdoc */
  public ofPool(pool: string): readonly configuration.Target[] {
    return this.options.configuration.current().pools.get(pool)?.targets ?? [];
  }

  /** @inheritdoc */
  public mayTakeWork(target: string): boolean {
    return this.members.get(target)?.tracker.mayTakeWork ?? false;
  }

  /** @inheritdoc */
  public candidates(call: scheduling.CallDescription): readonly scheduling.TargetCandidate[] {
    const trackers = this.ofPool(call.pool).flatMap((target) => {
      const tracker = this.members.get(target.name)?.tracker;
      return tracker?.mayTakeWork ? [tracker] : [];
    });
    const similar = trackers.find((tracker) => tracker.learnedRates)?.learnedRates;
    const ready = trackers
      .filter((tracker) => !call.excluded.has(tracker.target.name))
      .map((tracker) => tracker.candidate(call, similar));
    return rotated(ready, call.callId);
  }

  /** @inheritdoc */
  public begin(call: scheduling.CallDescription, target: string): lifetime.Disposable {
    const tracker = this.members.get(target)?.tracker;
    if (!tracker) return { dispose: () => undefined };
    let isRunning = true;
    tracker.load.change(1);
    return {
      dispose: () => {
        if (!isRunning) return;
        isRunning = false;
        tracker.load.change(-1);
        this.room.fire(call.pool);
      },
    };
  }

  /** @inheritdoc */
  public report(report: CallReport): void {
    const member = this.members.get(report.target);
    if (!member) return;
    const isEjected = member.tracker.learnCall(report);
    if (isEjected) {
      const fields = { target: report.target, ...(report.failure ? { kind: report.failure } : {}) };
      this.options.logger.warn('A target is ejected after failed calls.', fields);
    }
    // A failed call may mean that the target is gone, which its status shows at once.
    if (report.failure !== undefined) member.follower.checkNow();
  }

  /** @inheritdoc */
  public noteCached(target: string, program: string, tokens: number): void {
    this.members.get(target)?.tracker.cache.note(program, tokens);
  }

  /** @inheritdoc */
  public dispose(): Promise<void> {
    return this.owned.dispose();
  }

  /** Starts and stops following targets so that exactly those of the configuration are followed. */
  private follow(): void {
    const { pools } = this.options.configuration.current();
    const wanted = new Set<string>();
    pools.forEach((pool) => {
      pool.targets.forEach((target) => {
        if (wanted.has(target.name)) return;
        wanted.add(target.name);
        this.followTarget(target, pool);
      });
    });
    [...this.members.keys()].filter((name) => !wanted.has(name)).forEach((name) => this.drop(name));
    pools.forEach((pool) => this.room.fire(pool.name));
  }

  private followTarget(target: configuration.Target, pool: configuration.Pool): void {
    const member = this.members.get(target.name);
    if (member && member.url === target.url && member.kind === pool.kind) {
      member.tracker.update(target);
      return;
    }
    this.drop(target.name);
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
      onUnreachable: () => this.unreachable.fire(target.name),
    });
    this.members.set(target.name, { tracker, follower, url: target.url, kind: pool.kind });
  }

  private drop(name: string): void {
    this.members.get(name)?.follower.dispose();
    this.members.delete(name);
  }

  private fireRoomOf(target: string): void {
    this.options.configuration.current().pools.forEach((pool) => {
      if (pool.targets.some((other) => other.name === target)) this.room.fire(pool.name);
    });
  }
}

/**
 * Puts the candidates in an order that differs from call to call, so that processes that see the
 * same equal targets do not all take the first.
 */
function rotated<Item>(items: readonly Item[], callId: string): readonly Item[] {
  if (items.length < 2) return items;
  const sum = [...callId].reduce((total, letter) => total + letter.charCodeAt(0), 0);
  const start = sum % items.length;
  return [...items.slice(start), ...items.slice(0, start)];
}
