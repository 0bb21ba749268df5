import type * as clock from '@limpettack/clock';
import * as keyedLog from '@limpettack/keyed-log';
import type * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import type * as membership from '@limpettack/membership';
import type * as wire from '@limpettack/wire';
import * as leftoverTurns from './LeftoverTurns.js';
import type * as turnLog from './TurnLog.js';

/** Interval at which it is checked whether turns have to be listed. */
const CHECK_INTERVAL_MS = 5_000;

/** Minimum time between two listings, and before the first one of a VM. */
const LISTING_INTERVAL_MS = 30_000;

/** Pause between two pages of a listing, which leaves the processor to requests. */
const PAGE_PAUSE_MS = 50;

/** A listing is given up when so many turns have to be remembered. They take some 10 MB. */
const MAXIMUM_TURNS = 50_000;

/** How much longer than its retention and the longest run a turn is treated as needed. */
const NEED_MARGIN_MS = 5_000;

/** The maximum number of removals after one listing, and the time limit of their appends. */
const MAXIMUM_REMOVALS = 2_000;
const REMOVAL_TIMEOUT_MS = 2_000;

/** The key by which the VM that removes leftovers is chosen. */
const OWNER_KEY = 'leftover-turns';

/** Dependencies of the removal. */
export interface LeftoverRemovalOptions {
  readonly log: Pick<turnLog.TurnLog, 'visitAll' | 'remove'>;
  readonly network: Pick<wire.PeerNetwork, 'self'>;
  readonly membership: Pick<membership.Membership, 'available'>;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
}

/** Names a process in the markers of the turns that it writes. */
export function nameProcess({ incarnation, name }: Omit<wire.PeerIdentity, 'address'>): string {
  return `${name}.${incarnation}`;
}

/**
 * Removes the turns of processes that have ended, which would otherwise fill the log for good. One VM
 * does so, chosen by rendezvous hashing. It lists the turns when it is chosen, when a process has
 * ended, and when a turn that it knows of is no longer needed, so nothing is listed in calm operation.
 */
export class LeftoverRemoval implements lifetime.Disposable {
  private readonly leftovers = new leftoverTurns.LeftoverTurns(NEED_MARGIN_MS);

  private timer: clock.Timer;

  /** The processes that ran at the last listing; empty while another VM removes leftovers. */
  private knownProcesses: ReadonlySet<string> = new Set();

  /** When the turns have to be listed again; undefined if only the end of a process requires it. */
  private dueAt: clock.Milliseconds | undefined;

  /** When the last listing ended, or this VM was chosen. */
  private listedAt: clock.Milliseconds | undefined;

  private isDisposed = false;

  public constructor(private readonly options: LeftoverRemovalOptions) {
    this.timer = this.scheduleCheck();
  }

  /** @inheritdoc */
  public dispose(): void {
    this.isDisposed = true;
    this.timer.cancel();
  }

  private scheduleCheck(): clock.Timer {
    return this.options.clock.startTimer(CHECK_INTERVAL_MS, async () => {
      await this.check();
      if (!this.isDisposed) this.timer = this.scheduleCheck();
    });
  }

  private async check(): Promise<void> {
    const { clock: time, membership: members, network } = this.options;
    const available = members.available();
    const [owner] = keyedLog.rankByRendezvous(OWNER_KEY, available, ({ name }) => name);
    if (owner?.name !== network.self.name) {
      this.knownProcesses = new Set();
      this.listedAt = undefined;
      return;
    }
    this.listedAt ??= time.now();
    if (time.now() - this.listedAt < LISTING_INTERVAL_MS) return;
    const processes = new Set(available.map(nameProcess));
    const hasEnded = [...this.knownProcesses].some((name) => !processes.has(name));
    const isFirst = this.knownProcesses.size === 0;
    const isDue = this.dueAt !== undefined && time.now() >= this.dueAt;
    if (!isFirst && !hasEnded && !isDue) return;
    if (await this.removeLeftovers(processes)) this.knownProcesses = processes;
    this.listedAt = time.now();
  }

  /** Returns whether the turns could be listed. */
  private async removeLeftovers(processes: ReadonlySet<string>): Promise<boolean> {
    const { clock: time, log, logger } = this.options;
    const startedAt = time.now();
    let listedCount = 0;
    this.leftovers.begin();
    const visited = await log.visitAll(async (turns) => {
      listedCount += turns.length;
      if (this.leftovers.size > MAXIMUM_TURNS) return;
      turns.forEach((turn) =>
        this.leftovers.add(turn, time.now(), processes.has(turn.process ?? '')),
      );
      await time.sleep(PAGE_PAUSE_MS);
    });
    const isTooLarge = this.leftovers.size > MAXIMUM_TURNS;
    if (visited.isErr || isTooLarge || this.isDisposed) {
      this.leftovers.begin();
      const reason = visited.isErr ? visited.error.message : 'There are too many turns.';
      logger.warn('The stored turns could not be listed.', { count: listedCount, reason });
      return false;
    }
    const { nextAt, removable } = this.leftovers.finish(startedAt);
    const taken = removable.slice(0, MAXIMUM_REMOVALS);
    const results = await Promise.all(
      taken.map(({ id, partCount }) => log.remove(id, partCount, REMOVAL_TIMEOUT_MS)),
    );
    const failedCount = results.filter(({ isErr }) => isErr).length;
    const isComplete = taken.length === removable.length && failedCount === 0;
    this.dueAt = isComplete ? nextAt : time.now();
    logger.info('Turns of ended processes were removed.', {
      count: taken.length - failedCount,
      reason: `${listedCount} turns listed, ${failedCount} removals failed`,
      spanMs: Math.round(time.now() - startedAt),
    });
    return true;
  }
}
