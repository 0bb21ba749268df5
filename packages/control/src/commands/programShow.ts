import * as yaml from 'yaml';
import type { OperatorsCommand } from '../Types.js';
import * as results from '../results.js';

/** Prints what is known of a program of any workspace. */
export const PROGRAM_SHOW: OperatorsCommand = {
  usage: 'program show <id>',
  description: 'Print what is known of a program',
  options: [],
  needs: 'operators',
  run: async ({ words }, operators) => {
    const path = `/v1/operators/programs/${encodeURIComponent(words[0] ?? '')}`;
    const answer = await operators.call('GET', path);
    if (answer.isErr) return answer.error;
    return results.succeeded(yaml.stringify(answer.value), answer.value);
  },
};
