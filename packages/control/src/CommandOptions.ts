import * as zod from 'zod';

const DEFAULT_TIMEOUT_MS = 10_000;

// The command line parser converts texts that look like numbers, so they are converted back.
const TEXT = zod.coerce.string().optional();

/** Schema of all options that a command may take. */
export const COMMAND_OPTIONS = zod.object({
  json: zod.boolean().default(false),
  platform: TEXT,
  operators: TEXT,
  tokenFile: TEXT,
  author: TEXT,
  timeoutMs: zod.coerce.number().int().min(1).default(DEFAULT_TIMEOUT_MS),
  basedOn: zod.coerce.number().int().min(0).optional(),
  id: TEXT,
  label: TEXT,
  key: TEXT,
  digest: TEXT,
  call: TEXT,
  outcome: zod.enum(['ran', 'not-run']).optional(),
  note: TEXT,
  logs: TEXT,
});

/** Environment variables that are used when an option is missing. */
export const ENVIRONMENT_NAMES = {
  platform: 'LIMPETTACK_PLATFORM',
  operators: 'LIMPETTACK_OPERATORS',
  tokenFile: 'LIMPETTACK_TOKEN_FILE',
} as const;

/** Options that every command takes, as pairs of form and description. */
export const COMMON_OPTIONS = [
  ['--json', 'print JSON'],
  ['--platform <url>', `URL of the platform (${ENVIRONMENT_NAMES.platform})`],
  ['--operators <url>', `URL of a VM's operators' port (${ENVIRONMENT_NAMES.operators})`],
  ['--token-file <path>', `file with the operators' token (${ENVIRONMENT_NAMES.tokenFile})`],
  ['--author <name>', 'who runs the command; the user of the system by default'],
  ['--timeout-ms <span>', 'how long to try, in milliseconds'],
] as const;
