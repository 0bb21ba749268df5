import type * as trueMyth from 'true-myth';
import type * as zod from 'zod';
import type * as secret from './SECRET.js';

/** An error in a settings file. */
export interface SettingsError {
  /** Path of the setting, with dots between the names; empty for the whole file. */
  readonly path: string;
  /** The line in the file, counted from 1; 0 when the file cannot be read. */
  readonly line: number;
  readonly message: string;
}

/** Validated settings, or all errors in them. */
export type SettingsResult<Settings> = trueMyth.Result<Settings, readonly SettingsError[]>;

/** A secret as given in the settings: its text, or where to read it. */
export type Secret = zod.infer<typeof secret.SECRET>;
