import * as errors from '@limpettack/errors';
import * as trueMyth from 'true-myth';
import type * as currentTables from './CurrentTables.js';
import type { Call, Route, Workspace } from './Types.js';

/** A request that passed the access check. */
export interface AdmittedCall {
  readonly route: Route;
  /** Undefined if the request needs no key and has no valid one. */
  readonly workspace: Workspace | undefined;
}

/** Checks whether the tables allow a request. Rate limits and budgets are checked later. */
export function admitCaller(
  holder: Pick<currentTables.CurrentTables, 'current' | 'match'>,
  call: Pick<Call, 'host' | 'path' | 'key'>,
): trueMyth.Result<AdmittedCall, errors.Fault> {
  const tables = holder.current;
  if (tables === undefined) return refuse('not-ready');
  const route = holder.match(call.host, call.path);
  if (route === undefined) return refuse('route-unknown');
  const workspace = call.key === undefined ? undefined : tables.workspacesByKey.get(call.key);
  if (workspace === undefined && tables.needsKeys && !route.isPublic) {
    return refuse(call.key === undefined ? 'key-required' : 'key-unknown');
  }
  return trueMyth.Result.ok({ route, workspace });
}

function refuse(kind: errors.ErrorKind): trueMyth.Result<AdmittedCall, errors.Fault> {
  return trueMyth.Result.err(errors.createFault(kind));
}
