import * as zod from 'zod';
import type { OperatorsCommand } from '../Types.js';
import * as exitCodes from '../ExitCodes.js';
import * as results from '../results.js';

const { EXIT_CODES } = exitCodes;

const RESPONSE = zod.object({ resolved: zod.boolean() });

/** Records the outcome of a call in doubt. */
export const IN_DOUBT_RESOLVE: OperatorsCommand = {
  usage: 'in-doubt resolve',
  description: 'Note how a call in doubt ended',
  options: [
    ['--call <call>', 'the call, as `in-doubt list` shows it'],
    ['--outcome <outcome>', 'ran or not-run'],
    ['--note <text>', 'how the outcome was found out'],
  ],
  needs: 'operators',
  run: async ({ options }, operators) => {
    const { call: callKey, outcome, note = '' } = options;
    if (callKey === undefined || outcome === undefined) {
      return results.failed(EXIT_CODES.USAGE, 'Give --call and --outcome.');
    }
    const body = { callKey, outcome, note };
    const response = await operators.call('POST', '/v1/operators/in-doubt/resolve', body);
    if (response.isErr) return response.error;
    if (RESPONSE.safeParse(response.value).data?.resolved !== true) {
      return results.failed(EXIT_CODES.FAILED, `Call ${callKey} is not in doubt.`);
    }
    return results.succeeded(`Call ${callKey} is noted as ${outcome}.`, response.value);
  },
};
