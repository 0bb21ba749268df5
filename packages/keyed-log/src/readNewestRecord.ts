import * as trueMyth from 'true-myth';
import type { KeyedLog, LogResult, PartitionName, StoredRecord } from './Types.js';

/** Result and cost of a search for the newest record of a key. */
export interface NewestSearch {
  /** Undefined if the key has no record. */
  readonly record: StoredRecord | undefined;
  readonly pages: number;
  /** Total size of the values of all records read. */
  readonly bytes: number;
}

/**
 * Reads the newest record of one key. Listings are ordered by key, so a listing that starts right
 * before the key contains it as its first record.
 *
 * @param after A text that sorts after all earlier keys and before the key itself.
 */
export async function readNewestRecord(
  log: KeyedLog,
  partition: PartitionName,
  key: string,
  after: string,
): Promise<LogResult<NewestSearch>> {
  let position: string | undefined = after;
  let pages = 0;
  let bytes = 0;
  while (position !== undefined) {
    const page: Awaited<ReturnType<KeyedLog['newest']>> = await log.newest(partition, position);
    if (page.isErr) return trueMyth.Result.err(page.error);
    const { hasMore, records } = page.value;
    pages += 1;
    bytes += records.reduce((sum, { value }) => sum + (value?.length ?? 0), 0);
    const found = records.find((record) => record.key === key);
    if (found !== undefined) return trueMyth.Result.ok({ record: found, pages, bytes });
    const last = records.at(-1)?.key;
    position = hasMore && last !== undefined && last < key ? last : undefined;
  }
  return trueMyth.Result.ok({ record: undefined, pages, bytes });
}
