import * as scenarios from './scenarios.js';

const FAULT_PATTERN = /^([a-z-]+):([a-z0-9-]+)@(\d+)(?:\+(\d+))?$/;

/**
 * Reads a fault as the command line gives it: `KIND:NAME@MS`, and `+MS` for how long it lasts, such
 * as `kill-vm:vm-2@2000`. Throws when it is malformed.
 */
export function parseFault(text: string): scenarios.ScenarioFault {
  const match = FAULT_PATTERN.exec(text);
  if (match === null) throw new Error(`Give a fault as KIND:NAME@MS in place of ${text}`);
  const [, kind, name, atMs, durationMs = 0] = match;
  return scenarios.FAULT.parse({
    kind,
    name,
    atMs: Number(atMs),
    durationMs: Number(durationMs),
  });
}
