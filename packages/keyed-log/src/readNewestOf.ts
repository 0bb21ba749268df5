import * as trueMyth from 'true-myth';
import type { KeyedLog, LogResult, PartitionName, StoredRecord } from './Types.js';

/** What a search for the newest record of a key has found, and what it read for it. */
export interface NewestSearch {
  /** Nothing when the key has no record. */
  readonly record: StoredRecord | undefined;
  readonly pages: number;
  /** Size of the values of all records that were read. */
  readonly bytes: number;
}

/**
 * Reads the newest record of one key. Listings are in the order of their keys, so one that starts
 * right before the key ends the search with its first record.
 *
 * @param after A text that sorts before the key and after any lesser key.
 */
export async function readNewestOf(
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
