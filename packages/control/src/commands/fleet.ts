import * as zod from 'zod';
import type { OperatorsCommand } from '../Types.js';
import * as exitCodes from '../ExitCodes.js';
import * as results from '../results.js';
import * as textTable from '../textTable.js';

const FLEET = zod.object({
  self: zod.object({ name: zod.string() }),
  configurationVersion: zod.int(),
  isLogAvailable: zod.boolean(),
  members: zod.array(
    zod.object({
      name: zod.string(),
      address: zod.string(),
      failureDomain: zod.string(),
      state: zod.string(),
      listed: zod.boolean(),
      leaving: zod.boolean(),
    }),
  ),
  shards: zod.array(
    zod
      .object({
        shard: zod.int(),
        epoch: zod.int(),
        owner: zod.object({ name: zod.string() }),
        standby: zod.object({ name: zod.string() }).optional(),
      })
      .nullish(),
  ),
});

type Fleet = zod.infer<typeof FLEET>;

/** Prints the VMs and the owners of the shards, as known to one VM. */
export const FLEET_COMMAND: OperatorsCommand = {
  usage: 'fleet',
  description: 'Print the VMs and the owners of the shards, as one VM sees them',
  options: [],
  needs: 'operators',
  run: async (_input, operators) => {
    const response = await operators.call('GET', '/v1/operators/fleet');
    if (response.isErr) return response.error;
    const fleet = FLEET.safeParse(response.value);
    if (!fleet.success) {
      return results.failed(exitCodes.EXIT_CODES.FAILED, 'The answer of the VM is not understood.');
    }
    return results.succeeded(formatFleet(fleet.data), response.value);
  },
};

function formatFleet(fleet: Fleet): string {
  const log = fleet.isLogAvailable ? 'available' : 'unavailable';
  return [
    `As ${fleet.self.name} sees it: configuration version ${fleet.configurationVersion}, log ${log}.`,
    '',
    textTable.textTable([
      ['VM', 'ADDRESS', 'FAILURE DOMAIN', 'STATE', 'LISTED', 'LEAVING'],
      ...fleet.members.map(memberRow),
    ]),
    '',
    textTable.textTable([['SHARD', 'EPOCH', 'OWNER', 'STANDBY'], ...fleet.shards.map(shardRow)]),
  ].join('\n');
}

function memberRow(member: Fleet['members'][number]): readonly string[] {
  const { name, address, failureDomain, state } = member;
  return [name, address, failureDomain, state, yesOrNo(member.listed), yesOrNo(member.leaving)];
}

function shardRow(shard: Fleet['shards'][number], index: number): readonly string[] {
  if (!shard) return [String(index), '0', 'none', 'none'];
  const standby = shard.standby?.name ?? 'none';
  return [String(shard.shard), String(shard.epoch), shard.owner.name, standby];
}

function yesOrNo(value: boolean): string {
  return value ? 'yes' : 'no';
}
