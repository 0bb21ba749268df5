import * as keyedLog from '@limpettack/keyed-log';
import * as trueMyth from 'true-myth';

/** Time limits of a listing and of a read, as the client of the platform's store has them. */
const LISTING_TIMEOUT_MS = 900;
const READ_TIMEOUT_MS = 700;

/** Calls that take longer than the client waits are lost. */
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
    return inTime(this.log.newest(...call), LISTING_TIMEOUT_MS);
  }

  public read(
    ...call: Parameters<keyedLog.KeyedLog['read']>
  ): ReturnType<keyedLog.KeyedLog['read']> {
    return inTime(this.log.read(...call), READ_TIMEOUT_MS);
  }
}

async function inTime<Value>(
  call: Promise<keyedLog.LogResult<Value>>,
  timeoutMs: number,
): Promise<keyedLog.LogResult<Value>> {
  const late = new Promise<keyedLog.LogResult<Value>>((resolve) => {
    const message = 'no answer in time';
    const failure = { kind: keyedLog.LOG_FAILURES.LOST, message };
    setTimeout(() => resolve(trueMyth.Result.err(failure)), timeoutMs);
  });
  return Promise.race([call, late]);
}
