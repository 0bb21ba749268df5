import * as trueMyth from 'true-myth';
import type { KeyedLog, LogResult, PartitionName, PartitionState, StoredRecord } from './Types.js';

/** Reads the newest record of every key of a partition. */
export async function readAllNewestRecords(
  log: KeyedLog,
  partition: PartitionName,
): Promise<LogResult<PartitionState>> {
  const records: StoredRecord[] = [];
  let endOffset: number | undefined;
  let after: string | undefined;
  for (;;) {
    const page = await log.newest(partition, after);
    if (page.isErr) return trueMyth.Result.err(page.error);
    // The pages are not a snapshot. They are complete only up to the end offset of the first page.
    endOffset ??= page.value.endOffset;
    records.push(...page.value.records);
    after = page.value.records.at(-1)?.key;
    if (!page.value.hasMore || after === undefined) break;
  }
  return trueMyth.Result.ok({ records, endOffset });
}
