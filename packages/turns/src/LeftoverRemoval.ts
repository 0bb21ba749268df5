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

/** Minimum time between two listings that confirm removals of other processes. */
const CONFIRMATION_INTERVAL_MS = 6_000;

/** The maximum number of turns whose removal can wait for a confirmation. They take some 5 MB. */
const MAXIMUM_UNCONFIRMED = 50_000;

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

/** Chooses the VM that lists the turns; undefined if no VM is available. */
export function chooseRemover(
  available: readonly membership.Member[],
): membership.Member | undefined {
  return keyedLog.rankByRendezvous(OWNER_KEY, available, ({ name }) => name)[0];
}

/** Names a process in the markers of the turns that it writes. */
export function nameProcess({ incarnation, name }: Omit<wire.PeerIdentity, 'address'>): string {
  return `${name}.${incarnation}`;
}

/** Turns of a running process whose retention is over. They wait for the next listing. */
interface Confirmation {
  readonly turns: readonly string[];
  readonly resolve: (removable: readonly string[]) => void;
}

/**
 * Removes the turns of processes that have ended, which would otherwise fill the log for good, and
 * confirms to running processes that no needed turn continues those that they are about to remove. One
 * VM does so, chosen by rendezvous hashing. It lists the turns when it is chosen, when a process has
 * ended, when a turn that it knows of is no longer needed, and when it is asked for a confirmation. In
 * calm operation nobody asks, and nothing is listed.
 */
export class LeftoverRemoval implements lifetime.Disposable {
  private readonly leftovers = new leftoverTurns.LeftoverTurns(NEED_MARGIN_MS);

  private timer: clock.Timer;

  private confirmationTimer: clock.Timer | undefined;

  private unconfirmed: Confirmation[] = [];

  private isListing = false;

  /** The processes that ran at the last listing; empty while another VM removes leftovers. */
  private knownProcesses: ReadonlySet<string> = new Set();

  /** When the turns have to be listed again; undefined if only the end of a process requires it. */
  private dueAt: clock.Milliseconds | undefined;

  /** When the last listing ended, or this VM was chosen. */
  private listedAt: clock.Milliseconds | undefined;

  /** When the last listing ended, also while another VM removes leftovers. */
  private confirmedAt = Number.NEGATIVE_INFINITY;

  private isDisposed = false;

  public constructor(private readonly options: LeftoverRemovalOptions) {
    this.timer = this.scheduleCheck();
  }

  /**
   * Resolves after a listing that begins after the call, with those of the expired turns of a running
   * process that no needed turn continues. Resolves with none if the turns could not be listed.
   */
  public confirm(turns: readonly string[]): Promise<readonly string[]> {
    const waiting = this.unconfirmed.reduce(
      (sum, confirmation) => sum + confirmation.turns.length,
      0,
    );
    if (this.isDisposed || waiting + turns.length > MAXIMUM_UNCONFIRMED) return Promise.resolve([]);
    return new Promise((resolve) => {
      this.unconfirmed.push({ turns, resolve });
      this.scheduleConfirmation();
    });
  }

  /** @inheritdoc */
  public dispose(): void {
    this.isDisposed = true;
    this.timer.cancel();
    this.confirmationTimer?.cancel();
    this.unconfirmed.splice(0).forEach(({ resolve }) => resolve([]));
  }

  private scheduleCheck(): clock.Timer {
    return this.options.clock.startTimer(CHECK_INTERVAL_MS, async () => {
      await this.check();
      if (!this.isDisposed) this.timer = this.scheduleCheck();
    });
  }

  private scheduleConfirmation(): void {
    if (this.isDisposed || this.isListing || this.unconfirmed.length === 0) return;
    if (this.confirmationTimer !== undefined) return;
    const { clock: time } = this.options;
    const waitMs = this.confirmedAt + CONFIRMATION_INTERVAL_MS - time.now();
    this.confirmationTimer = time.startTimer(Math.max(0, waitMs), () => {
      this.confirmationTimer = undefined;
      this.removeLeftovers(this.runningProcesses());
    });
  }

  private runningProcesses(): ReadonlySet<string> {
    return new Set(this.options.membership.available().map(nameProcess));
  }

  /** Whether this VM removes the turns of ended processes. */
  private isOwner(): boolean {
    const { membership: members, network } = this.options;
    return chooseRemover(members.available())?.name === network.self.name;
  }

  private async check(): Promise<void> {
    const { clock: time } = this.options;
    if (!this.isOwner()) {
      this.knownProcesses = new Set();
      this.listedAt = undefined;
      return;
    }
    this.listedAt ??= time.now();
    if (this.isListing || time.now() - this.listedAt < LISTING_INTERVAL_MS) return;
    const processes = this.runningProcesses();
    const hasEnded = [...this.knownProcesses].some((name) => !processes.has(name));
    const isFirst = this.knownProcesses.size === 0;
    const isDue = this.dueAt !== undefined && time.now() >= this.dueAt;
    if (!isFirst && !hasEnded && !isDue) return;
    await this.removeLeftovers(processes);
  }

  private async removeLeftovers(processes: ReadonlySet<string>): Promise<void> {
    const { clock: time } = this.options;
    this.isListing = true;
    const confirmations = this.unconfirmed.splice(0);
    try {
      await this.review(confirmations, processes);
    } catch (error) {
      const reason = String(error);
      this.options.logger.error('A listing of the stored turns failed unexpectedly.', { reason });
    }
    // Has no effect on those that were resolved before.
    confirmations.forEach(({ resolve }) => resolve([]));
    this.confirmedAt = time.now();
    if (this.listedAt !== undefined) this.listedAt = this.confirmedAt;
    this.isListing = false;
    this.scheduleConfirmation();
  }

  /** Lists the turns, resolves the confirmations and removes the turns of ended processes. */
  private async review(
    confirmations: readonly Confirmation[],
    processes: ReadonlySet<string>,
  ): Promise<void> {
    const expired = new Set(confirmations.flatMap(({ turns }) => turns));
    const isOwner = this.isOwner();
    const startedAt = this.options.clock.now();
    // A VM that was asked although another one removes leftovers only confirms.
    const found = await this.list(expired, (process) => !isOwner || processes.has(process));
    if (found === undefined) return;
    confirmations.forEach(({ resolve, turns }) =>
      resolve(turns.filter((id) => found.confirmed.has(id))),
    );
    if (!isOwner || found.isTooLarge) return;
    await this.remove(found, startedAt);
    this.knownProcesses = processes;
  }

  /** Lists all turns. Returns undefined if they could not be listed. */
  private async list(
    expired: ReadonlySet<string>,
    isRunning: (process: string) => boolean,
  ): Promise<leftoverTurns.Leftovers | undefined> {
    const { clock: time, log, logger } = this.options;
    const startedAt = time.now();
    let listedCount = 0;
    this.leftovers.begin(expired);
    const visited = await log.visitAll(async (turns) => {
      listedCount += turns.length;
      turns.forEach((turn) => this.leftovers.add(turn, time.now(), isRunning(turn.process ?? '')));
      await time.sleep(PAGE_PAUSE_MS);
    });
    if (visited.isErr || this.isDisposed) {
      this.leftovers.begin();
      const reason = visited.isErr ? visited.error.message : 'The process is shutting down.';
      logger.warn('The stored turns could not be listed.', { count: listedCount, reason });
      return undefined;
    }
    const found = this.leftovers.finish(startedAt);
    logger.info('The stored turns were listed.', {
      count: listedCount,
      reason: `${found.confirmed.size} of ${expired.size} expired turns are not needed`,
      spanMs: Math.round(time.now() - startedAt),
    });
    if (found.isTooLarge) {
      const reason = 'There are too many turns.';
      logger.warn('Turns of ended processes are not removed.', { count: listedCount, reason });
    }
    return found;
  }

  private async remove(
    { nextAt, removable }: leftoverTurns.Leftovers,
    startedAt: clock.Milliseconds,
  ): Promise<void> {
    const { clock: time, log, logger } = this.options;
    const taken = removable.slice(0, MAXIMUM_REMOVALS);
    const results = await Promise.all(
      taken.map(({ id, partCount }) => log.remove(id, partCount, REMOVAL_TIMEOUT_MS)),
    );
    const failedCount = results.filter(({ isErr }) => isErr).length;
    const isComplete = taken.length === removable.length && failedCount === 0;
    this.dueAt = isComplete ? nextAt : time.now();
    logger.info('Turns of ended processes were removed.', {
      count: taken.length - failedCount,
      reason: `${failedCount} removals failed`,
      spanMs: Math.round(time.now() - startedAt),
    });
  }
}
