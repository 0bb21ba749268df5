import * as errors from '@limpettack/errors';
import * as messages from './messages.js';
import type { CallItem } from './Types.js';

/** The reasons for which a running call is aborted. */
export const ABORT_REASONS = {
  DEADLINE: 'deadline',
  CALLER_GONE: 'caller-gone',
  PROGRAM_ENDED: 'program-ended',
  SHARD_LOST: 'shard-lost',
} as const;

const ERROR_KIND_BY_ABORT_REASON: Readonly<Record<string, errors.ErrorKind>> = {
  [ABORT_REASONS.DEADLINE]: 'deadline-exceeded',
  [ABORT_REASONS.CALLER_GONE]: 'stream-interrupted',
  [ABORT_REASONS.PROGRAM_ENDED]: 'program-ended',
  [ABORT_REASONS.SHARD_LOST]: 'not-owner',
};

/** The fault of an aborted call, by its abort reason. */
export function faultOfAbort(signal: AbortSignal, wasSent: boolean): errors.Fault {
  const kind = ERROR_KIND_BY_ABORT_REASON[String(signal.reason)] ?? 'internal';
  return withRunState(errors.createFault(kind), wasSent);
}

/** Sets the run state of a fault: unknown if the call was sent, otherwise not run. */
export function withRunState(fault: errors.Fault, wasSent: boolean): errors.Fault {
  const run = wasSent ? errors.RUN_STATES.UNKNOWN : errors.RUN_STATES.NOT_RUN;
  return { ...fault, run };
}

/** A fault as the last item of a response stream. */
export function faultItem(fault: errors.Fault): Extract<CallItem, { kind: 'fault' }> {
  return { kind: messages.ITEM_KINDS.FAULT, fault };
}
