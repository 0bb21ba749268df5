import type * as clock from '@limpettack/clock';
import * as keyedLog from '@limpettack/keyed-log';
import type * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import * as trueMyth from 'true-myth';
import * as turnRecords from './turnRecords.js';

/** The record that was found; undefined if the log has none, or a failure if it could not be read. */
export type FoundRecord = keyedLog.LogResult<keyedLog.StoredRecord | undefined>;

/** The result of searches that were waiting at the disposal. */
const DISPOSED: FoundRecord = trueMyth.Result.err({
  kind: keyedLog.LOG_FAILURES.UNAVAILABLE,
  message: 'The process stops.',
});

interface Search {
  readonly partition: keyedLog.PartitionName;
  readonly key: string;
  readonly resolve: (found: FoundRecord) => void;
}

/** Dependencies of the searches. */
export interface ContentSearchesOptions {
  readonly log: Pick<keyedLog.KeyedLog, 'newest'>;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  /** Takes all records of a listing, since reading them again would cost as much. */
  readonly onListed: (records: readonly keyedLog.StoredRecord[]) => void;
}

/**
 * Finds contents by their keys, after the log has dropped the records at their offsets. A listing
 * returns up to a megabyte of the contents that follow a key, so one listing runs at a time and
 * answers all waiting searches for keys that it covers. Successive listings of a partition proceed in
 * the order of the keys. So many conversations that continue at the same time need few more listings
 * than it takes to read all contents once.
 */
export class ContentSearches implements lifetime.Disposable {
  private waiting: Search[] = [];

  /** Where the last listing ended, if there were further records. */
  private listedUpTo: Pick<Search, 'partition' | 'key'> | undefined;

  private isRunning = false;

  private isDisposed = false;

  public constructor(private readonly options: ContentSearchesOptions) {}

  /** Finds the newest record of a key. */
  public find(partition: keyedLog.PartitionName, key: string): Promise<FoundRecord> {
    if (this.isDisposed) return Promise.resolve(DISPOSED);
    return new Promise((resolve) => {
      this.waiting.push({ partition, key, resolve });
      if (!this.isRunning) this.run();
    });
  }

  /** @inheritdoc */
  public dispose(): void {
    this.isDisposed = true;
    this.waiting.splice(0).forEach(({ resolve }) => resolve(DISPOSED));
  }

  private async run(): Promise<void> {
    this.isRunning = true;
    for (let next = this.next(); next !== undefined; next = this.next()) await this.list(next);
    this.isRunning = false;
  }

  /**
   * The search to start the next listing with: the first one after the last listing, or, at the end of
   * a partition, the first one of the partition whose search has waited for the longest time.
   */
  private next(): Search | undefined {
    if (this.isDisposed) return undefined;
    const { listedUpTo } = this;
    const further =
      listedUpTo === undefined
        ? undefined
        : lowest(this.searchesOf(listedUpTo.partition).filter(({ key }) => key > listedUpTo.key));
    const [oldest] = this.waiting;
    return further ?? (oldest && lowest(this.searchesOf(oldest.partition)));
  }

  private searchesOf(partition: keyedLog.PartitionName): readonly Search[] {
    return this.waiting.filter((search) => isSamePartition(search.partition, partition));
  }

  /** Lists the records from the key of a search on, and resolves the searches that they answer. */
  private async list(first: Search): Promise<void> {
    const { clock: time, logger, onListed } = this.options;
    const startedAt = time.now();
    const page = await this.readFrom(first);
    const spanMs = Math.round(time.now() - startedAt);
    if (page.isErr) {
      const reason = page.error.message;
      logger.warn('A content could not be looked up in the log.', {
        kind: first.key,
        reason,
        spanMs,
      });
      this.waiting = this.waiting.filter((search) => search !== first);
      first.resolve(trueMyth.Result.err(page.error));
      return;
    }
    const { hasMore, records } = page.value;
    const found = new Map(records.map((record) => [record.key, record]));
    const last = hasMore ? records.at(-1)?.key : undefined;
    const isAnswered = (search: Search): boolean =>
      search === first ||
      (isSamePartition(search.partition, first.partition) &&
        search.key >= first.key &&
        (last === undefined || search.key <= last));
    this.listedUpTo = last === undefined ? undefined : { partition: first.partition, key: last };
    const answered = this.waiting.filter(isAnswered);
    this.waiting = this.waiting.filter((search) => !isAnswered(search));
    logger.info('Contents were looked up in the log.', {
      kind: first.key,
      count: answered.length,
      bytes: records.reduce((sum, { value }) => sum + (value?.length ?? 0), 0),
      spanMs,
    });
    onListed(records);
    answered.forEach(({ key, resolve }) => resolve(trueMyth.Result.ok(found.get(key))));
  }

  /** An exception must not end the searches that wait, and all later ones. */
  private async readFrom({
    key,
    partition,
  }: Search): Promise<keyedLog.LogResult<keyedLog.NewestPage>> {
    try {
      return await this.options.log.newest(partition, turnRecords.keyBefore(key));
    } catch (error) {
      const kind = keyedLog.LOG_FAILURES.LOST;
      return trueMyth.Result.err({ kind, message: String(error) });
    }
  }
}

function lowest(searches: readonly Search[]): Search | undefined {
  return searches.reduce<Search | undefined>(
    (least, search) => (least === undefined || search.key < least.key ? search : least),
    undefined,
  );
}

function isSamePartition(left: keyedLog.PartitionName, right: keyedLog.PartitionName): boolean {
  return left.partition === right.partition && left.topic === right.topic;
}
