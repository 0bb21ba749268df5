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

/** Members that may have owned a partition before, asked to let go of it. */
const FORMER_OWNERS_ASKED = 3;

/** How often a partition that was let go under a request is opened anew for it. */
const OPENINGS_FOR_ONE = 3;

/** How often programs without use are looked for; a tenth of the time that they are kept. */
const REMOVAL_INTERVAL_MS = 60_000;

/** Time for a former owner to write what it has not used. */
const RELEASE_TIMEOUT_MS = 300;

/** The detail of a `not-owner` fault that names the owner. */
export const OWNER_DETAIL = 'owner';

/** What the homes of this process need. */
export interface HomeServerOptions {
  readonly log: keyedLog.KeyedLog;
  readonly network: wire.PeerNetwork;
  readonly membership: Pick<membership.Membership, 'available' | 'members' | 'onChange'>;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  readonly partitionCount: number;
  /** Unique for each life of the process. */
  readonly producer: string;
}

/** The partitions of programs that this process owns. */
export class HomeServer implements lifetime.Disposable {
  private readonly store = new lifetime.DisposableStore();

  private readonly partitions = new Map<number, homePartition.HomePartition>();

  /** Counts the partitions that were opened, each under a producer of its own. */
  private openings = 0;

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
    this.store.add(options.membership.onChange(() => this.releaseForeign()));
    const removals = setInterval(() => this.removeIdle(), REMOVAL_INTERVAL_MS);
    removals.unref();
    this.store.add({ dispose: () => clearInterval(removals) });
  }

  /** Partitions that this process serves. */
  public get ownedCount(): number {
    return this.partitions.size;
  }

  /**
   * Sets tokens of a program's budget aside. `not-owner`, with the owner's address in its details,
   * where another member is taken for the owner; an insisting caller has found none there.
   */
  public async reserve(
    reservation: Reservation,
    isInsisting: boolean,
  ): Promise<trueMyth.Result<Grant, errors.Fault>> {
    const index = this.indexOf(reservation.program);
    let granted: trueMyth.Result<Grant, errors.Fault> | undefined;
    for (let attempt = 0; attempt < OPENINGS_FOR_ONE && isOvertaken(granted); attempt += 1) {
      const owner = this.ownerElsewhere(index);
      if (owner !== undefined && !this.partitions.has(index) && (!isInsisting || attempt > 0)) {
        const overrides = { details: { [OWNER_DETAIL]: owner.address } };
        return trueMyth.Result.err(errors.createFault('not-owner', undefined, overrides));
      }
      granted = await this.partitionFor(index).reserve(reservation);
    }
    return granted ?? trueMyth.Result.err(errors.createFault('not-owner'));
  }

  /**
   * Waits for a while until the log holds enough for a reserved turn. Nothing when the partition
   * has gone elsewhere since.
   */
  public async cover(reservation: Reservation): Promise<boolean | undefined> {
    return this.partitions.get(this.indexOf(reservation.program))?.cover(reservation);
  }

  /**
   * Ends a turn's reservation. For a kept turn, resolves when the log counts no more for it than
   * what it used, or with false when that takes too long. Nothing when another member is taken
   * for the owner. A new owner settles what it finds in the log.
   */
  public async settle(settlement: Settlement, writer: string): Promise<boolean | undefined> {
    const index = this.indexOf(settlement.program);
    if (!this.partitions.has(index) && this.ownerElsewhere(index) !== undefined) return undefined;
    return this.partitionFor(index).settle(settlement, writer);
  }

  /** Lets go of all partitions; the next owners count what has really been used. */
  public async releaseAll(): Promise<void> {
    await Promise.all([...this.partitions.keys()].map((index) => this.releasePartition(index)));
  }

  /** @inheritdoc */
  public async dispose(): Promise<void> {
    this.partitions.forEach((partition) => partition.dispose());
    await this.store.dispose();
  }

  /** The owner of a partition where that is another member. */
  private ownerElsewhere(index: number): membership.Member | undefined {
    const { membership: members, network } = this.options;
    const owner = rankOwners(index, members.available())[0];
    return owner?.name === network.self.name ? undefined : owner;
  }

  private indexOf(program: string): number {
    return keyedLog.partitionOf(program, this.options.partitionCount);
  }

  private partitionFor(index: number): homePartition.HomePartition {
    const { clock: time, log, logger, producer } = this.options;
    const known = this.partitions.get(index);
    if (known !== undefined) return known;
    this.openings += 1;
    const created = new homePartition.HomePartition({
      partition: index,
      log,
      clock: time,
      logger,
      producer: `${producer}.${index}.${this.openings}`,
      releaseElsewhere: () => this.releaseElsewhere(index),
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

  /** Asks the members that may have owned a partition to let go of it. */
  private async releaseElsewhere(index: number): Promise<void> {
    const { membership: members, network } = this.options;
    const others = members.available().filter(({ name }) => name !== network.self.name);
    const former = rankOwners(index, others).slice(0, FORMER_OWNERS_ASKED);
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

  /** Lets go of partitions that another member owns now. */
  private releaseForeign(): void {
    const { logger, membership: members, network } = this.options;
    const available = members.available();
    [...this.partitions.keys()]
      .filter((index) => rankOwners(index, available)[0]?.name !== network.self.name)
      .forEach((index) => {
        logger.info('A partition of programs has another owner now.', { shard: index });
        this.releasePartition(index).catch((error: unknown) => {
          logger.error('A partition could not be let go.', { shard: index, reason: String(error) });
        });
      });
  }
}

/** Whether a partition was let go while a request waited for it. */
function isOvertaken(granted: trueMyth.Result<Grant, errors.Fault> | undefined): boolean {
  return granted === undefined || (granted.isErr && granted.error.kind === 'not-owner');
}

/** Members in the order in which they own a partition. */
export function rankOwners<Member extends wire.PeerIdentity>(
  partition: number,
  members: readonly Member[],
): Member[] {
  return keyedLog.rankByRendezvous(`programs/${partition}`, members, ({ name }) => name);
}
