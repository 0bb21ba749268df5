import * as ulid from 'ulid';

const ULID = '[0-9a-hjkmnp-tv-z]{26}';
const PROGRAM_PATTERN = new RegExp(`^p-(${ULID})(?:-(${ULID}))?$`);

/** Creates the id of a program, or of a child program below its parent. */
export function createProgramId(parent?: string): string {
  const own = ulid.ulid().toLowerCase();
  return parent === undefined ? `p-${own}` : `p-${rootOf(parent)}-${own}`;
}

/** Whether a text has the format of a program id. */
export function isProgramId(text: string): boolean {
  return PROGRAM_PATTERN.test(text);
}

/** The part of a program id that determines its shard; a parent and its children share it. */
export function rootOf(program: string): string {
  return PROGRAM_PATTERN.exec(program)?.[1] ?? program;
}

/**
 * Creates the id under which an at-most-once call is journaled. The scope of its idempotency key is
 * the program or, outside programs, the workspace and the route.
 */
export function createCallKey(
  workspace: string | undefined,
  route: string,
  program: string | undefined,
  idempotencyKey: string,
): string {
  const scope =
    program === undefined ? ['workspace', workspace ?? '', route] : ['program', program];
  return JSON.stringify([...scope, idempotencyKey]);
}

/** The shard key of a call key created by `createCallKey`; undefined for any other text. */
export function shardKeyOfCallKey(callKey: string): string | undefined {
  const parts = parseParts(callKey);
  if (parts === undefined) return undefined;
  const [scope, program] = parts;
  return scope === 'program' && program !== undefined ? rootOf(program) : callKey;
}

function parseParts(callKey: string): readonly string[] | undefined {
  try {
    const parts: unknown = JSON.parse(callKey);
    const isList = Array.isArray(parts) && parts.every((part) => typeof part === 'string');
    return isList ? parts : undefined;
  } catch {
    return undefined;
  }
}
