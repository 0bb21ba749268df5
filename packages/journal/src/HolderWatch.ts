import type * as clock from '@limpettack/clock';
import * as membership from '@limpettack/membership';
import type * as pauseDetector from './PauseDetector.js';
import type { ShardHolder } from './Types.js';

/** Time between two confirmations that a process cannot be reached. */
const CONFIRM_INTERVAL_MS = 250;

interface Suspicion {
  /** The clock reading since which each confirmation has said that it cannot be reached. */
  since: clock.Milliseconds | undefined;
  askedAt: clock.Milliseconds;
  isAsking: boolean;
}

/** What the watch needs from the process. */
export interface WatchCollaborators {
  readonly membership: membership.Membership;
  readonly clock: clock.Clock;
  readonly pauses: pauseDetector.PauseDetector;
}

/** For how long the holders of shards have been out of reach. */
export class HolderWatch {
  private readonly suspicions = new Map<string, Suspicion>();

  public constructor(private readonly collaborators: WatchCollaborators) {}

  /** Whether it is proved that the process has ended. */
  public hasEnded({ name, incarnation }: ShardHolder): boolean {
    const { self } = this.collaborators.membership;
    if (name === self.name) return incarnation !== self.incarnation;
    const member = this.collaborators.membership.find(name);
    if (member !== undefined && member.incarnation > incarnation) return true;
    return this.collaborators.membership.hasEnded(name, incarnation);
  }

  /** Whether the process has announced its end. */
  public isLeaving({ name }: ShardHolder): boolean {
    return this.collaborators.membership.find(name)?.leaving ?? false;
  }

  /** Whether the process is thought to be in reach. Asking costs nothing. */
  public isThoughtAvailable(holder: ShardHolder): boolean {
    if (this.hasEnded(holder)) return false;
    if (holder.name === this.collaborators.membership.self.name) return true;
    const member = this.collaborators.membership.find(holder.name);
    return member?.state === membership.MEMBER_STATES.AVAILABLE;
  }

  /**
   * For how long the process has been out of reach by this VM and its probers, in milliseconds; 0
   * when it is in reach, infinite when it has ended. Call it often: asking starts a confirmation.
   */
  public unreachableFor(holder: ShardHolder): clock.Milliseconds {
    if (this.hasEnded(holder)) return Number.POSITIVE_INFINITY;
    const { name } = holder;
    if (this.isThoughtAvailable(holder)) {
      this.suspicions.delete(name);
      return 0;
    }
    const suspicion = this.suspicionOf(name);
    this.confirm(name, suspicion).catch(() => undefined);
    const { since } = suspicion;
    // After a pause of this process it has heard nobody for a while, which says nothing of others.
    if (since === undefined || this.collaborators.pauses.hasPausedSince(since)) {
      suspicion.since = undefined;
      return 0;
    }
    return this.collaborators.clock.now() - since;
  }

  private suspicionOf(name: string): Suspicion {
    const known = this.suspicions.get(name);
    if (known !== undefined) return known;
    const fresh = { since: undefined, askedAt: Number.NEGATIVE_INFINITY, isAsking: false };
    this.suspicions.set(name, fresh);
    return fresh;
  }

  private async confirm(name: string, suspicion: Suspicion): Promise<void> {
    const { clock: clockSource, membership: members } = this.collaborators;
    const askedAt = clockSource.now();
    if (suspicion.isAsking || askedAt - suspicion.askedAt < CONFIRM_INTERVAL_MS) return;
    Object.assign(suspicion, { askedAt, isAsking: true });
    const isUnreachable = await members.confirmUnreachable(name);
    const since = isUnreachable ? (suspicion.since ?? askedAt) : undefined;
    Object.assign(suspicion, { isAsking: false, since });
  }
}
