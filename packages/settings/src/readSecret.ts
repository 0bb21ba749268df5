import * as trueMyth from 'true-myth';
import type { Secret, SettingsError } from './Types.js';
import * as readSettingsFile from './readSettingsFile.js';

/** Environment variables by name. */
export type Environment = Readonly<Record<string, string | undefined>>;

/** Reads the text of a secret. White space around the content of a file is trimmed. */
export async function readSecret(
  secret: Secret,
  environment: Environment = process.env,
): Promise<trueMyth.Result<string, SettingsError>> {
  if (typeof secret === 'string') return trueMyth.Result.ok(secret);
  if ('environment' in secret) {
    return requireText(environment[secret.environment], `The variable ${secret.environment}`);
  }
  const text = await readSettingsFile.readTextFile(secret.file);
  return text.andThen((content) => requireText(content.trim(), `The file ${secret.file}`));
}

function requireText(
  text: string | undefined,
  source: string,
): trueMyth.Result<string, SettingsError> {
  if (text) return trueMyth.Result.ok(text);
  return trueMyth.Result.err({ path: '', line: 0, message: `${source} holds no secret.` });
}
