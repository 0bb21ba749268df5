import type * as configuration from '@limpettack/configuration';
import * as connectionFields from './connectionFields.js';
import type { FencingNumber, ModelCall, ServiceCall } from './Types.js';

/** The field with the caller's key, which is never sent to targets. */
const CALLER_KEY_FIELD = 'authorization';

/** Prefix of fields that only this system sets. */
const RESERVED_FIELD_PREFIX = 'limpettack-';

/**
 * Returns the `authorization` field with the credential of a pool, which all targets of the pool
 * accept. Returns no field if the pool has no known credential.
 */
export function credentialHeaders(
  pool: configuration.Pool | undefined,
  credentials: ReadonlyMap<string, string>,
): Record<string, string> {
  const credential = pool?.credential ? credentials.get(pool.credential) : undefined;
  return credential ? { authorization: `Bearer ${credential}` } : {};
}

/** Returns the header fields of the request to an engine, except for the pool's credential. */
export function modelHeaders(call: ModelCall): Record<string, string> {
  return {
    'content-type': 'application/json',
    accept: 'text/event-stream',
    'limpettack-call': call.callId,
    ...(call.program === '' ? {} : { 'limpettack-program': call.program }),
    'limpettack-priority': String(call.priority),
    ...fencingHeaders(call.fencing),
  };
}

/**
 * Returns the header fields of the request to a service, except for the pool's credential: the
 * caller's fields that targets may receive, and the fields that this system adds.
 */
export function serviceHeaders(call: ServiceCall): Record<string, string> {
  const key = call.idempotencyKey;
  return {
    ...withoutFields(call.headers, isHiddenFromTargets),
    'limpettack-call': call.callId,
    ...(key === undefined ? {} : { 'idempotency-key': key }),
    ...fencingHeaders(call.fencing),
  };
}

/** Returns the header fields of a response that are forwarded to the caller. */
export function responseHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string> {
  const joined = Object.entries(headers).flatMap(([name, value]) =>
    value === undefined ? [] : [[name, Array.isArray(value) ? value.join(', ') : value] as const],
  );
  return withoutFields(Object.fromEntries(joined), (name) =>
    connectionFields.CONNECTION_FIELDS.has(name),
  );
}

function isHiddenFromTargets(name: string): boolean {
  return (
    connectionFields.CONNECTION_FIELDS.has(name) ||
    name === CALLER_KEY_FIELD ||
    name.startsWith(RESERVED_FIELD_PREFIX)
  );
}

function withoutFields(
  headers: Readonly<Record<string, string>>,
  isDropped: (name: string) => boolean,
): Record<string, string> {
  const kept = Object.entries(headers)
    .map(([name, value]) => [name.toLowerCase(), value] as const)
    .filter(([name]) => !isDropped(name));
  return Object.fromEntries(kept);
}

function fencingHeaders(fencing: FencingNumber): Record<string, string> {
  return {
    'limpettack-fencing-scope': fencing.scope,
    'limpettack-fencing-number': String(fencing.number),
  };
}
