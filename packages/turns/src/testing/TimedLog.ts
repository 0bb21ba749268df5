import * as keyedLog from '@limpettack/keyed-log';
import * as trueMyth from 'true-myth';

/** Timeouts of a listing and of a read, as in the client of the platform's store. */
const LISTING_TIMEOUT_MS = 900;
const READ_TIMEOUT_MS = 700;

/** A log whose listings and reads fail with `lost` after the timeouts of the client. */
export class TimedLog implements keyedLog.KeyedLog {
  public constructor(private readonly log: keyedLog.KeyedLog) {}

  public append(
    ...call: Parameters<keyedLog.KeyedLog['append']>
  ): ReturnType<keyedLog.KeyedLog['append']> {
    return this.log.append(...call);
  }

  public newest(
    ...call: Parameters<keyedLog.KeyedLog['newest']>
  ): ReturnType<keyedLog.KeyedLog['newest']> {
    return withTimeout(this.log.newest(...call), LISTING_TIMEOUT_MS);
  }

  public read(
    ...call: Parameters<keyedLog.KeyedLog['read']>
  ): ReturnType<keyedLog.KeyedLog['read']> {
    return withTimeout(this.log.read(...call), READ_TIMEOUT_MS);
  }
}

async function withTimeout<Value>(
  call: Promise<keyedLog.LogResult<Value>>,
  timeoutMs: number,
): Promise<keyedLog.LogResult<Value>> {
  const timeout = new Promise<keyedLog.LogResult<Value>>((resolve) => {
    const message = 'no answer in time';
    const failure = { kind: keyedLog.LOG_FAILURES.LOST, message };
    setTimeout(() => resolve(trueMyth.Result.err(failure)), timeoutMs);
  });
  return Promise.race([call, timeout]);
}
