import * as scenarios from './scenarios.js';

const FAULT_PATTERN = /^([a-z-]+):([a-z0-9-]+)@(\d+)(?:\+(\d+))?$/;

/**
 * Parses a fault from the command line: `KIND:NAME@MS`, optionally followed by `+MS` for its
 * duration, such as `kill-vm:vm-2@2000`. Throws when it is malformed.
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
