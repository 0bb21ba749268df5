import type * as platformClient from '@limpettack/platform-client';
import * as trueMyth from 'true-myth';
import type { ConfigurationRecord, StreamRecord } from './Types.js';
import * as schemas from './schemas.js';

/** Parses a record of the stream. The error states why the payload is not a record. */
export function parseRecord(
  logRecord: platformClient.LogRecord,
): trueMyth.Result<StreamRecord, string> {
  return parseJson(logRecord.payload)
    .andThen(checkRecord)
    .map((record) => ({ offset: logRecord.offset, record }));
}

function parseJson(text: string): trueMyth.Result<unknown, string> {
  return trueMyth.result.tryOrElse(
    (reason: unknown) => `The payload is not JSON: ${String(reason)}`,
    () => JSON.parse(text) as unknown,
  );
}

function checkRecord(value: unknown): trueMyth.Result<ConfigurationRecord, string> {
  const checked = schemas.CONFIGURATION_RECORD.safeParse(value);
  if (!checked.success) return trueMyth.Result.err(checked.error.message);
  return trueMyth.Result.ok(checked.data);
}
