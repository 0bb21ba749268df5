import * as zod from 'zod';
import type { OperatorsCommand } from '../Types.js';
import * as exitCodes from '../ExitCodes.js';
import * as results from '../results.js';

const { EXIT_CODES } = exitCodes;

const ANSWER = zod.object({ resolved: zod.boolean() });

/** Notes how a call in doubt ended. */
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
    const answer = await operators.call('POST', '/v1/operators/in-doubt/resolve', body);
    if (answer.isErr) return answer.error;
    if (ANSWER.safeParse(answer.value).data?.resolved !== true) {
      return results.failed(EXIT_CODES.FAILED, `Call ${callKey} is not in doubt.`);
    }
    return results.succeeded(`Call ${callKey} is noted as ${outcome}.`, answer.value);
  },
};
