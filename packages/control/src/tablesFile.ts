import * as configuration from '@limpettack/configuration';
import * as settings from '@limpettack/settings';
import * as trueMyth from 'true-myth';
import * as yaml from 'yaml';
import type { CommandResult } from './Types.js';
import * as results from './results.js';

const VERSION_NOTE_PATTERN = /^# version (\d+)$/m;

/** The content of a file of tables. */
export interface TablesFile {
  readonly tables: configuration.Tables;
  /** The configuration version that the file was created from, from its version comment. */
  readonly version: number | undefined;
}

/** Reads a file of tables and validates it. */
export async function readTablesFile(
  path: string,
): Promise<trueMyth.Result<TablesFile, CommandResult>> {
  const text = await settings.readTextFile(path);
  return text
    .mapErr((error) => [error] as readonly settings.SettingsError[])
    .andThen((content) => parseTables(content))
    .mapErr((errors) => results.invalid(errors.map(settings.formatSettingsError)))
    .andThen((file) => checkTables(file));
}

function parseTables(text: string): settings.SettingsResult<TablesFile> {
  const note = VERSION_NOTE_PATTERN.exec(text)?.[1];
  const version = note === undefined ? undefined : Number(note);
  return settings.loadSettings(configuration.TABLES, text).map((tables) => ({ tables, version }));
}

function checkTables(file: TablesFile): trueMyth.Result<TablesFile, CommandResult> {
  const change = replaceTables(file.tables);
  return configuration
    .applyChange(configuration.emptyState(), change)
    .map(() => file)
    .mapErr((problems) => results.invalid(problems));
}

/** Returns the change that replaces the current tables. */
export function replaceTables(tables: configuration.Tables): configuration.ConfigurationChange {
  return { kind: configuration.CHANGE_KINDS.REPLACE_TABLES, tables };
}

/** Formats the tables of a state as a file that can be edited and published. */
export function formatTables(state: configuration.ConfigurationState): string {
  return `# version ${state.version}\n${yaml.stringify(tablesOf(state))}`;
}

/** Returns the tables of a state. */
export function tablesOf(state: configuration.ConfigurationState): configuration.Tables {
  return {
    routes: [...state.routes.values()],
    pools: [...state.pools.values()],
    workspaces: [...state.workspaces.values()],
  };
}
