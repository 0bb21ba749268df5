import * as trueMyth from 'true-myth';
import * as logFailures from './LogFailures.js';
import type {
  KeyedLog,
  LogFailure,
  LogResult,
  NewestPage,
  PartitionName,
  PartitionState,
  StoredRecord,
} from './Types.js';

const NOT_ADVANCING: LogFailure = {
  kind: logFailures.LOG_FAILURES.LOST,
  message: 'The listing does not advance.',
};

/** Reads the newest record of every key of a partition. */
export async function readAllNewestRecords(
  log: KeyedLog,
  partition: PartitionName,
): Promise<LogResult<PartitionState>> {
  const records: StoredRecord[] = [];
  let endOffset: number | undefined;
  const visited = await visitNewestRecords(log, partition, undefined, (page) => {
    // The pages are not a snapshot. They are complete only up to the end offset of the first page.
    endOffset ??= page.endOffset;
    records.push(...page.records);
  });
  return visited.map(() => ({ records, endOffset: endOffset ?? 0 }));
}

/**
 * Reads the newest record of every key of a partition, page by page.
 *
 * @param start Only keys after this one are read.
 * @param visit Takes a page. The next one is read when the returned promise has resolved.
 */
export async function visitNewestRecords(
  log: KeyedLog,
  partition: PartitionName,
  start: string | undefined,
  visit: (page: NewestPage) => Promise<void> | void,
): Promise<LogResult<void>> {
  let after = start;
  for (;;) {
    const page = await log.newest(partition, after);
    if (page.isErr) return trueMyth.Result.err(page.error);
    const last = page.value.records.at(-1)?.key;
    // Otherwise a log that returns a page again would be listed until the memory is used up.
    if (last !== undefined && last === after) return trueMyth.Result.err(NOT_ADVANCING);
    await visit(page.value);
    after = last;
    if (!page.value.hasMore || after === undefined) return trueMyth.Result.ok(undefined);
  }
}
