import type * as configuration from '@limpettack/configuration';
import type * as trueMyth from 'true-myth';
import type * as zod from 'zod';
import type * as commandOptions from './CommandOptions.js';
import type * as exitCodes from './ExitCodes.js';

/** A number that says how a command ended. */
export type ExitCode = (typeof exitCodes.EXIT_CODES)[keyof typeof exitCodes.EXIT_CODES];

/** What a command tells: as text, or as data with `--json`. */
export interface CommandResult {
  readonly exitCode: ExitCode;
  readonly text: string;
  readonly data: unknown;
}

/** Options of the command line, checked. */
export type CommandOptions = zod.infer<typeof commandOptions.COMMAND_OPTIONS>;

/** What the command line says to one command. */
export interface CommandInput {
  /** The words after the command's name. */
  readonly words: readonly string[];
  readonly options: CommandOptions;
  /** Who runs the command, as other operators will see it. */
  readonly author: string;
  /** Makes a unique id. */
  readonly createId: () => string;
}

/** Calls a VM's operators' port. An error is a result that tells of it. */
export interface OperatorsPort {
  call(
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body?: unknown,
  ): Promise<trueMyth.Result<unknown, CommandResult>>;
}

interface CommandBase {
  /** The words of the command and what follows them, such as `program show <id>`. */
  readonly usage: string;
  readonly description: string;
  /** Options beside those that each command takes, as pairs of form and meaning. */
  readonly options: readonly (readonly [string, string])[];
}

/** A command that needs neither the platform nor a VM. */
export interface LocalCommand extends CommandBase {
  readonly needs: 'nothing';
  run(input: CommandInput): Promise<CommandResult>;
}

/** A command that reads or writes the configuration stream. */
export interface PlatformCommand extends CommandBase {
  readonly needs: 'platform';
  run(input: CommandInput, publisher: configuration.ConfigurationPublisher): Promise<CommandResult>;
}

/** A command that asks a VM. */
export interface OperatorsCommand extends CommandBase {
  readonly needs: 'operators';
  run(input: CommandInput, operators: OperatorsPort): Promise<CommandResult>;
}

/** One command of `limpettackctl`. */
export type Command = LocalCommand | PlatformCommand | OperatorsCommand;
