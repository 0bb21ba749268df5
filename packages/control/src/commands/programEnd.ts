import type { OperatorsCommand } from '../Types.js';
import * as results from '../results.js';

/** Ends a program of any workspace. */
export const PROGRAM_END: OperatorsCommand = {
  usage: 'program end <id>',
  description: 'End a program',
  options: [],
  needs: 'operators',
  run: async ({ positionals }, operators) => {
    const id = positionals[0] ?? '';
    const path = `/v1/operators/programs/${encodeURIComponent(id)}`;
    const response = await operators.call('DELETE', path);
    if (response.isErr) return response.error;
    return results.succeeded(`Program ${id} has ended.`, response.value);
  },
};
