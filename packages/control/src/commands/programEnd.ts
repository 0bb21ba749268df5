import type { OperatorsCommand } from '../Types.js';
import * as results from '../results.js';

/** Ends a program of any workspace. */
export const PROGRAM_END: OperatorsCommand = {
  usage: 'program end <id>',
  description: 'End a program',
  options: [],
  needs: 'operators',
  run: async ({ words }, operators) => {
    const id = words[0] ?? '';
    const path = `/v1/operators/programs/${encodeURIComponent(id)}`;
    const answer = await operators.call('DELETE', path);
    if (answer.isErr) return answer.error;
    return results.succeeded(`Program ${id} has ended.`, answer.value);
  },
};
