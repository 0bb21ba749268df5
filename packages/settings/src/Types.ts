import type * as trueMyth from 'true-myth';
import type * as zod from 'zod';
import type * as secret from './SECRET.js';

/** Something wrong with a settings file. */
export interface SettingsError {
  /** Names that lead to the setting, joined by dots; empty for the whole file. */
  readonly path: string;
  /** The line in the file, counted from 1; 0 when the file cannot be read. */
  readonly line: number;
  readonly message: string;
}

/** Checked settings, or everything that is wrong with them. */
export type SettingsResult<Settings> = trueMyth.Result<Settings, readonly SettingsError[]>;

/** A secret as the settings name it. */
export type Secret = zod.infer<typeof secret.SECRET>;
