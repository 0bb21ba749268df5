import * as yaml from 'yaml';
import type { OperatorsCommand } from '../Types.js';
import * as results from '../results.js';

/** Prints the state of a program of any workspace. */
export const PROGRAM_SHOW: OperatorsCommand = {
  usage: 'program show <id>',
  description: 'Print what is known of a program',
  options: [],
  needs: 'operators',
  run: async ({ positionals }, operators) => {
    const path = `/v1/operators/programs/${encodeURIComponent(positionals[0] ?? '')}`;
    const response = await operators.call('GET', path);
    if (response.isErr) return response.error;
    return results.succeeded(yaml.stringify(response.value), response.value);
  },
};
