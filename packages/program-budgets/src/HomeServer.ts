import type * as clock from '@limpettack/clock';
import * as errors from '@limpettack/errors';
import * as keyedLog from '@limpettack/keyed-log';
import * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import type * as membership from '@limpettack/membership';
import type * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';
import * as homePartition from './HomePartition.js';
import * as messages from './messages.js';
import type { Grant, Reservation, Settlement } from './Types.js';

/** Number of possible former owners that are asked to release a partition. */
const MAXIMUM_FORMER_OWNERS = 3;

/**
 * Maximum number of times that one request opens a partition that is released while the request
 * waits.
 */
const MAXIMUM_OPENINGS = 3;

/**
 * Interval at which idle programs are removed; a tenth of the idle time after which a program is
 * removed.
 */
const REMOVAL_INTERVAL_MS = 60_000;

/** Timeout for a former owner to lower its watermarks and to release a partition. */
const RELEASE_TIMEOUT_MS = 300;

/** The key under which the details of a `not-owner` fault contain the owner's address. */
export const OWNER_ADDRESS_KEY = 'owner';

/** Dependencies and settings of the home server. */
export interface HomeServerOptions {
  readonly log: keyedLog.KeyedLog;
  readonly network: wire.PeerNetwork;
  readonly membership: Pick<membership.Membership, 'available' | 'members' | 'onChange'>;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  readonly partitionCount: number;
  /** Unique for each start of the process. */
  readonly producer: string;
  /** Whether programs whose turns are not retained continue while the log is unavailable. */
  readonly programsContinueDuringOutages?: boolean;
}

/** The home of the programs whose partitions this process owns. */
export class HomeServer implements lifetime.Disposable {
  private readonly store = new lifetime.DisposableStore();

  private readonly partitions = new Map<number, homePartition.HomePartition>();

  /** Number of partitions opened so far; part of the producer name, so that each name is unique. */
  private openedCount = 0;

  public constructor(private readonly options: HomeServerOptions) {
    const { network } = options;
    this.store.add(
      network.serve(messages.RESERVE, ({ isInsisting, ...request }) =>
        this.reserve(request, isInsisting),
      ),
    );
    this.store.add(
      network.serve(messages.COVER, async (request) => {
        const isCovered = await this.cover(request);
        if (isCovered === undefined) return trueMyth.Result.err(errors.createFault('not-owner'));
        return trueMyth.Result.ok({ isCovered });
      }),
    );
    this.store.add(
      network.serve(messages.SETTLE, async (request, from) => {
        const isRecorded = await this.settle(request, from.address);
        if (isRecorded === undefined) return trueMyth.Result.err(errors.createFault('not-owner'));
        return trueMyth.Result.ok({ isRecorded });
      }),
    );
    this.store.add(
      network.serve(messages.RELEASE_PARTITION, async ({ partition }) => {
        await this.releasePartition(partition);
        return trueMyth.Result.ok({});
      }),
    );
    this.store.add(options.membership.onChange(() => this.releaseLostPartitions()));
    const removals = setInterval(() => this.removeIdle(), REMOVAL_INTERVAL_MS);
    removals.unref();
    this.store.add({ dispose: () => clearInterval(removals) });
  }

  /** Number of partitions that this process serves. */
  public get ownedCount(): number {
    return this.partitions.size;
  }

  /**
   * Reserves tokens of a program's budget. Fails with `not-owner`, with the owner's address in the
   * details, when this process considers another member the owner. A caller that sets `isInsisting`
   * could not be served by that member, so this process then serves the request itself.
   */
  public async reserve(
    reservation: Reservation,
    isInsisting: boolean,
  ): Promise<trueMyth.Result<Grant, errors.Fault>> {
    const index = this.indexOf(reservation.program);
    let granted: trueMyth.Result<Grant, errors.Fault> | undefined;
    for (let attempt = 0; attempt < MAXIMUM_OPENINGS && needsAttempt(granted); attempt += 1) {
      const owner = this.otherOwner(index);
      if (owner !== undefined && !this.partitions.has(index) && (!isInsisting || attempt > 0)) {
        const overrides = { details: { [OWNER_ADDRESS_KEY]: owner.address } };
        return trueMyth.Result.err(errors.createFault('not-owner', undefined, overrides));
      }
      granted = await this.partitionFor(index).reserve(reservation);
    }
    return granted ?? trueMyth.Result.err(errors.createFault('not-owner'));
  }

  /**
   * Waits for a limited time until the watermark in the log covers a reserved turn. Resolves with
   * undefined when the partition is no longer open here.
   */
  public async cover(reservation: Reservation): Promise<boolean | undefined> {
    return this.partitions.get(this.indexOf(reservation.program))?.cover(reservation);
  }

  /**
   * Settles a turn's reservation. For a retained turn, resolves with true once the log charges no
   * more than the used tokens, or with false on a timeout. Resolves with undefined when this
   * process considers another member the owner. A new owner can also settle turns that were
   * reserved at an earlier home, because it reads them from the log.
   */
  public async settle(settlement: Settlement, writer: string): Promise<boolean | undefined> {
    const index = this.indexOf(settlement.program);
    if (!this.partitions.has(index) && this.otherOwner(index) !== undefined) return undefined;
    return this.partitionFor(index).settle(settlement, writer);
  }

  /**
   * Lowers the watermarks of all partitions, so that the next owners charge only the used tokens,
   * and releases the partitions.
   */
  public async releaseAll(): Promise<void> {
    await Promise.all([...this.partitions.keys()].map((index) => this.releasePartition(index)));
  }

  /** @inheritdoc */
  public async dispose(): Promise<void> {
    this.partitions.forEach((partition) => partition.dispose());
    await this.store.dispose();
  }

  /** Returns the owner of a partition if it is another member, otherwise undefined. */
  private otherOwner(index: number): membership.Member | undefined {
    const { membership: members, network } = this.options;
    const owner = rankOwners(index, members.available())[0];
    return owner?.name === network.self.name ? undefined : owner;
  }

  /**
   * Whether no other VM is likely to consider itself the owner of a partition. Homes that let the same
   * program continue without a record would each deliver output that the log does not cover.
   */
  private isUndisputedOwner(index: number): boolean {
    const { membership: members } = this.options;
    const listed = members.members().filter((member) => member.listed);
    return this.otherOwner(index) === undefined && 2 * members.available().length > listed.length;
  }

  private indexOf(program: string): number {
    return keyedLog.partitionOf(program, this.options.partitionCount);
  }

  private partitionFor(index: number): homePartition.HomePartition {
    const { clock: time, log, logger, producer, programsContinueDuringOutages } = this.options;
    const known = this.partitions.get(index);
    if (known !== undefined) return known;
    this.openedCount += 1;
    const created = new homePartition.HomePartition({
      partition: index,
      log,
      clock: time,
      logger,
      producer: `${producer}.${index}.${this.openedCount}`,
      requestRelease: () => this.requestRelease(index),
      ...(programsContinueDuringOutages === true
        ? { mayContinueDuringOutages: () => this.isUndisputedOwner(index) }
        : {}),
    });
    this.partitions.set(index, created);
    return created;
  }

  private async releasePartition(index: number): Promise<void> {
    const partition = this.partitions.get(index);
    this.partitions.delete(index);
    await partition?.release();
  }

  private removeIdle(): void {
    this.partitions.forEach((partition) => partition.removeIdle());
  }

  /** Asks the members that may have owned a partition before to release it. */
  private async requestRelease(index: number): Promise<void> {
    const { membership: members, network } = this.options;
    const others = members.available().filter(({ name }) => name !== network.self.name);
    const former = rankOwners(index, others).slice(0, MAXIMUM_FORMER_OWNERS);
    await Promise.all(
      former.map(({ address }) =>
        network.request(
          address,
          messages.RELEASE_PARTITION,
          { partition: index },
          { timeoutMs: RELEASE_TIMEOUT_MS },
        ),
      ),
    );
  }

  /** Releases partitions that another member owns now. */
  private releaseLostPartitions(): void {
    const { logger, membership: members, network } = this.options;
    const available = members.available();
    [...this.partitions.keys()]
      .filter((index) => rankOwners(index, available)[0]?.name !== network.self.name)
      .forEach((index) => {
        logger.info('Another member owns this program partition now; releasing it.', {
          shard: index,
        });
        this.releasePartition(index).catch((error: unknown) => {
          logger.error('A program partition could not be released.', {
            shard: index,
            reason: String(error),
          });
        });
      });
  }
}

/** Whether no attempt was made yet, or the partition was released while the request waited. */
function needsAttempt(granted: trueMyth.Result<Grant, errors.Fault> | undefined): boolean {
  return granted === undefined || (granted.isErr && granted.error.kind === 'not-owner');
}

/** Members in their order of precedence as owner of a partition, by rendezvous hashing. */
export function rankOwners<Member extends wire.PeerIdentity>(
  partition: number,
  members: readonly Member[],
): Member[] {
  return keyedLog.rankByRendezvous(`programs/${partition}`, members, ({ name }) => name);
}
