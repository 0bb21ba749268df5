import * as zod from 'zod';
import type { OperatorsCommand } from '../Types.js';
import * as exitCodes from '../ExitCodes.js';
import * as results from '../results.js';
import * as textTable from '../textTable.js';

const LISTING = zod.object({
  calls: zod.array(
    zod.object({
      callKey: zod.string(),
      workspace: zod.string().optional(),
      route: zod.string(),
      target: zod.string(),
      idempotencyKey: zod.string(),
      note: zod.string(),
    }),
  ),
  unreachable: zod.array(zod.string()),
});

type Listing = zod.infer<typeof LISTING>;

/** Lists the calls in doubt, whose outcome is unknown. */
export const IN_DOUBT_LIST: OperatorsCommand = {
  usage: 'in-doubt list',
  description: 'List the calls whose outcome is not known',
  options: [],
  needs: 'operators',
  run: async (_input, operators) => {
    const response = await operators.call('GET', '/v1/operators/in-doubt');
    if (response.isErr) return response.error;
    const listing = LISTING.safeParse(response.value);
    if (!listing.success) {
      return results.failed(exitCodes.EXIT_CODES.FAILED, 'The answer of the VM is not understood.');
    }
    return results.succeeded(formatListing(listing.data), response.value);
  },
};

function formatListing({ calls, unreachable }: Listing): string {
  const heading = ['CALL', 'WORKSPACE', 'ROUTE', 'TARGET', 'IDEMPOTENCY KEY', 'NOTE'];
  const rows = calls.map((call) => [
    call.callKey,
    call.workspace ?? 'none',
    call.route,
    call.target,
    call.idempotencyKey,
    call.note,
  ]);
  const table =
    calls.length === 0 ? 'No call is in doubt.' : textTable.textTable([heading, ...rows]);
  if (unreachable.length === 0) return table;
  return `${table}\nThese VMs did not answer, so calls may be missing: ${unreachable.join(', ')}.`;
}
