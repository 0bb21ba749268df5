import * as settings from '@limpettack/settings';
import * as trueMyth from 'true-myth';
import type * as nodeSettings from './NodeSettings.js';
import type { NodeSecrets } from './VmContext.js';

/** Reads the secrets that the settings refer to. Fails with the path of one that is unreadable. */
export async function readSecrets(
  values: nodeSettings.NodeSettings,
): Promise<trueMyth.Result<NodeSecrets, settings.SettingsError>> {
  const peers = await settings.readSecret(values.peers.secret);
  if (peers.isErr) return trueMyth.Result.err({ ...peers.error, path: 'peers.secret' });
  const operators = await settings.readSecret(values.operators.token);
  if (operators.isErr) return trueMyth.Result.err({ ...operators.error, path: 'operators.token' });
  const credentials = new Map<string, string>();
  for (const [name, secret] of Object.entries(values.credentials)) {
    const read = await settings.readSecret(secret);
    if (read.isErr) return trueMyth.Result.err({ ...read.error, path: `credentials.${name}` });
    credentials.set(name, read.value);
  }
  return trueMyth.Result.ok({ peers: peers.value, operators: operators.value, credentials });
}
