import type * as clock from '@limpettack/clock';
import type * as errors from '@limpettack/errors';
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

/** Time for a former owner to write what it has not used. */
const RELEASE_TIMEOUT_MS = 300;

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
    this.store.add(network.serve(messages.RESERVE, (request) => this.reserve(request)));
    this.store.add(
      network.serve(messages.COVER, async (request) =>
        trueMyth.Result.ok({ isCovered: await this.cover(request) }),
      ),
    );
    this.store.add(
      network.serve(messages.SETTLE, async (request, from) => {
        this.settle(request, from.address);
        return trueMyth.Result.ok({});
      }),
    );
    this.store.add(
      network.serve(messages.RELEASE_PARTITION, async ({ partition }) => {
        await this.releasePartition(partition);
        return trueMyth.Result.ok({});
      }),
    );
    this.store.add(options.membership.onChange(() => this.releaseForeign()));
  }

  /** Sets tokens of a program's budget aside. */
  public reserve(reservation: Reservation): Promise<trueMyth.Result<Grant, errors.Fault>> {
    return this.partitionFor(reservation.program).reserve(reservation);
  }

  /** Waits for a while until the log holds enough for a reserved turn. */
  public cover(reservation: Reservation): Promise<boolean> {
    return this.partitionFor(reservation.program).cover(reservation);
  }

  /** Ends a turn's reservation. */
  public settle(settlement: Settlement, writer: string): void {
    const index = keyedLog.partitionOf(settlement.program, this.options.partitionCount);
    this.partitions.get(index)?.settle(settlement, writer);
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

  private partitionFor(program: string): homePartition.HomePartition {
    const { clock: time, log, logger, partitionCount, producer } = this.options;
    const index = keyedLog.partitionOf(program, partitionCount);
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

/** Members in the order in which they own a partition. */
export function rankOwners<Member extends wire.PeerIdentity>(
  partition: number,
  members: readonly Member[],
): Member[] {
  return keyedLog.rankByRendezvous(`programs/${partition}`, members, ({ name }) => name);
}
