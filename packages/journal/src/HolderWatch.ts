import type * as clock from '@limpettack/clock';
import * as membership from '@limpettack/membership';
import type * as pauseDetector from './PauseDetector.js';
import type { ShardHolder } from './Types.js';

/** Minimum time between two checks whether a process is unreachable. */
const CONFIRM_INTERVAL_MS = 250;

/** What is known of a process that may be unreachable. */
interface Suspicion {
  /** The clock time since which every check has found the process unreachable. */
  since: clock.Milliseconds | undefined;
  checkedAt: clock.Milliseconds;
  isChecking: boolean;
}

/** Dependencies of the watch. */
export interface WatchDependencies {
  readonly membership: membership.Membership;
  readonly clock: clock.Clock;
  readonly pauses: pauseDetector.PauseDetector;
}

/** Measures for how long the holders of shards have been unreachable. */
export class HolderWatch {
  private readonly suspicions = new Map<string, Suspicion>();

  public constructor(private readonly dependencies: WatchDependencies) {}

  /** Whether the process is known for certain to have ended. */
  public hasEnded({ name, incarnation }: ShardHolder): boolean {
    const { self } = this.dependencies.membership;
    if (name === self.name) return incarnation !== self.incarnation;
    const member = this.dependencies.membership.find(name);
    if (member !== undefined && member.incarnation > incarnation) return true;
    return this.dependencies.membership.hasEnded(name, incarnation);
  }

  /** Whether the process has announced that it is leaving. */
  public isLeaving({ name }: ShardHolder): boolean {
    return this.dependencies.membership.find(name)?.leaving ?? false;
  }

  /** Whether the membership lists the process as available. Sends no messages. */
  public isConsideredAvailable(holder: ShardHolder): boolean {
    if (this.hasEnded(holder)) return false;
    if (holder.name === this.dependencies.membership.self.name) return true;
    const member = this.dependencies.membership.find(holder.name);
    return member?.state === membership.MEMBER_STATES.AVAILABLE;
  }

  /**
   * Returns how long neither this VM nor the members that it asks have reached the process, in
   * milliseconds; 0 when it is reachable, infinite when it has ended. Must be called regularly,
   * because each call may start the next check.
   */
  public unreachableFor(holder: ShardHolder): clock.Milliseconds {
    if (this.hasEnded(holder)) return Number.POSITIVE_INFINITY;
    const { name } = holder;
    if (this.isConsideredAvailable(holder)) {
      this.suspicions.delete(name);
      return 0;
    }
    const suspicion = this.suspicionOf(name);
    this.confirm(name, suspicion).catch(() => undefined);
    const { since } = suspicion;
    // While this process was paused it received no messages, so their absence proves nothing.
    if (since === undefined || this.dependencies.pauses.hasPausedSince(since)) {
      suspicion.since = undefined;
      return 0;
    }
    return this.dependencies.clock.now() - since;
  }

  private suspicionOf(name: string): Suspicion {
    const known = this.suspicions.get(name);
    if (known !== undefined) return known;
    const created = { since: undefined, checkedAt: Number.NEGATIVE_INFINITY, isChecking: false };
    this.suspicions.set(name, created);
    return created;
  }

  private async confirm(name: string, suspicion: Suspicion): Promise<void> {
    const { clock: clockSource, membership: members } = this.dependencies;
    const checkedAt = clockSource.now();
    if (suspicion.isChecking || checkedAt - suspicion.checkedAt < CONFIRM_INTERVAL_MS) return;
    Object.assign(suspicion, { checkedAt, isChecking: true });
    const isUnreachable = await members.confirmUnreachable(name);
    const since = isUnreachable ? (suspicion.since ?? checkedAt) : undefined;
    Object.assign(suspicion, { isChecking: false, since });
  }
}
