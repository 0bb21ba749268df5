import * as trueMyth from 'true-myth';
import * as logFailures from './LogFailures.js';
import type {
  KeyedLog,
  LogFailure,
  LogResult,
  PartitionName,
  PartitionState,
  StoredRecord,
} from './Types.js';

const NOT_ADVANCING: LogFailure = {
  kind: logFailures.LOG_FAILURES.LOST,
  message: 'The listing does not advance.',
};

/**
 * Reads the newest record of every key of a partition.
 *
 * @param start Only keys after this one are read.
 */
export async function readAllNewestRecords(
  log: KeyedLog,
  partition: PartitionName,
  start?: string,
): Promise<LogResult<PartitionState>> {
  const records: StoredRecord[] = [];
  let endOffset: number | undefined;
  let after = start;
  for (;;) {
    const page = await log.newest(partition, after);
    if (page.isErr) return trueMyth.Result.err(page.error);
    const last = page.value.records.at(-1)?.key;
    // Otherwise a log that returns a page again would be listed until the memory is used up.
    if (last !== undefined && last === after) return trueMyth.Result.err(NOT_ADVANCING);
    // The pages are not a snapshot. They are complete only up to the end offset of the first page.
    endOffset ??= page.value.endOffset;
    records.push(...page.value.records);
    after = last;
    if (!page.value.hasMore || after === undefined) break;
  }
  return trueMyth.Result.ok({ records, endOffset });
}
