import type * as configuration from '@limpettack/configuration';
import type * as trueMyth from 'true-myth';
import type * as zod from 'zod';
import type * as commandOptions from './CommandOptions.js';
import type * as exitCodes from './ExitCodes.js';

/** The exit code of a command. */
export type ExitCode = (typeof exitCodes.EXIT_CODES)[keyof typeof exitCodes.EXIT_CODES];

/** The result of a command, printed as text, or as data with `--json`. */
export interface CommandResult {
  readonly exitCode: ExitCode;
  readonly text: string;
  readonly data: unknown;
}

/** The validated options of a command line. */
export type CommandOptions = zod.infer<typeof commandOptions.COMMAND_OPTIONS>;

/** The input of a command, from the command line. */
export interface CommandInput {
  /** The positional arguments after the command's name. */
  readonly positionals: readonly string[];
  readonly options: CommandOptions;
  /** Name of the operator who runs the command, recorded with edits. */
  readonly author: string;
  /** Creates a unique id. */
  readonly createId: () => string;
}

/** Client of a VM's operators' port. */
export interface OperatorsClient {
  /** Returns the parsed body of the response, or a command result that describes the error. */
  call(
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body?: unknown,
  ): Promise<trueMyth.Result<unknown, CommandResult>>;
}

interface CommandBase {
  /** The name of the command and its arguments, such as `program show <id>`. */
  readonly usage: string;
  readonly description: string;
  /** Options in addition to `COMMON_OPTIONS`, as pairs of form and description. */
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

/** A command that calls a VM. */
export interface OperatorsCommand extends CommandBase {
  readonly needs: 'operators';
  run(input: CommandInput, operators: OperatorsClient): Promise<CommandResult>;
}

/** One command of `limpettackctl`. */
export type Command = LocalCommand | PlatformCommand | OperatorsCommand;
