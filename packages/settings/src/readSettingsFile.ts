import * as fs from 'node:fs/promises';
import * as trueMyth from 'true-myth';
import type * as zod from 'zod';
import type { SettingsError, SettingsResult } from './Types.js';
import * as loadSettings from './loadSettings.js';

/** Reads a settings file and validates it. */
export async function readSettingsFile<Settings>(
  path: string,
  schema: zod.ZodType<Settings>,
): Promise<SettingsResult<Settings>> {
  const text = await readTextFile(path);
  if (text.isErr) return trueMyth.Result.err([text.error]);
  return loadSettings.loadSettings(schema, text.value);
}

/** Reads a text file, such as one that holds a secret. */
export async function readTextFile(path: string): Promise<trueMyth.Result<string, SettingsError>> {
  const read = await trueMyth.task.fromPromise(fs.readFile(path, 'utf8'), String);
  return read.mapErr((reason) => ({
    path: '',
    line: 0,
    message: `The file ${path} cannot be read: ${reason}`,
  }));
}
