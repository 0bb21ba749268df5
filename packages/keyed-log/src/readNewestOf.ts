import * as trueMyth from 'true-myth';
import type { KeyedLog, LogResult, PartitionName, StoredRecord } from './Types.js';

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
): Promise<LogResult<StoredRecord | undefined>> {
  let position: string | undefined = after;
  while (position !== undefined) {
    const page: Awaited<ReturnType<KeyedLog['newest']>> = await log.newest(partition, position);
    if (page.isErr) return trueMyth.Result.err(page.error);
    const { hasMore, records } = page.value;
    const found = records.find((record) => record.key === key);
    if (found !== undefined) return trueMyth.Result.ok(found);
    const last = records.at(-1)?.key;
    position = hasMore && last !== undefined && last < key ? last : undefined;
  }
  return trueMyth.Result.ok(undefined);
}
