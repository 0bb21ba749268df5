import type * as clockTypes from '@limpettack/clock';
import type * as configuration from '@limpettack/configuration';
import * as errors from '@limpettack/errors';
import type * as journal from '@limpettack/journal';
import type * as membership from '@limpettack/membership';
import * as programs from '@limpettack/programs';
import type * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';

/** Timeout of a request to another VM, in milliseconds. */
const REQUEST_TIMEOUT_MS = 2_000;

/** The state of the fleet as known to this VM. */
export interface FleetDescription {
  readonly self: wire.PeerIdentity;
  readonly configurationVersion: number;
  readonly isLogAvailable: boolean;
  readonly members: readonly membership.Member[];
  readonly shards: readonly (journal.Ownership | undefined)[];
}

/** Collaborators of a `FleetView`. */
export interface FleetViewOptions {
  readonly network: wire.PeerNetwork;
  readonly members: membership.Membership;
  readonly shards: journal.Journal<programs.ShardState, programs.JournalBody>;
  readonly configuration: configuration.ConfigurationView;
  readonly clock: clockTypes.Clock;
}

/** Serves operators' requests about the fleet, its programs and its calls in doubt. */
export class FleetView {
  public constructor(private readonly options: FleetViewOptions) {}

  /** Returns the members and the owners of the shards, as known to this VM. */
  public async describe(): Promise<FleetDescription> {
    const { network, members, shards } = this.options;
    return {
      self: network.self,
      configurationVersion: this.options.configuration.current().version,
      isLogAvailable: shards.isLogAvailable(),
      members: members.members(),
      shards: Array.from({ length: shards.shardCount }, (_, shard) => shards.ownership(shard)),
    };
  }

  /** Returns a program of any workspace, read from its home. */
  public async showProgram(id: string): Promise<programs.FaultResult<programs.ProgramView>> {
    return this.requestFromOwner(programs.rootOf(id), programs.SHOW_ANY_PROGRAM, { program: id });
  }

  /** Lists the calls in doubt of all shards, and the names of the VMs that did not respond. */
  public async listInDoubt(): Promise<{
    calls: readonly programs.InDoubtCall[];
    unreachable: readonly string[];
  }> {
    const { network, members } = this.options;
    const responses = await Promise.all(
      members.available().map(async (member) => ({
        name: member.name,
        result: await network.request(
          member.address,
          programs.LIST_IN_DOUBT,
          {},
          { timeoutMs: REQUEST_TIMEOUT_MS },
        ),
      })),
    );
    return {
      calls: responses.flatMap(({ result }) => (result.isOk ? result.value : [])),
      unreachable: responses.flatMap(({ name, result }) => (result.isErr ? [name] : [])),
    };
  }

  /** Records the outcome of a call in doubt. Returns `bad-request` for a malformed call key. */
  public async resolveInDoubt(request: {
    callKey: string;
    outcome: programs.Resolution;
    note: string;
  }): Promise<programs.FaultResult<{ resolved: boolean }>> {
    const shardKey = programs.shardKeyOfCallKey(request.callKey);
    if (shardKey === undefined) return trueMyth.Result.err(errors.createFault('bad-request'));
    return this.requestFromOwner(shardKey, programs.RESOLVE_IN_DOUBT, request);
  }

  /** Sends a request to the owner of a shard. Returns `home-unavailable` without a known owner. */
  private async requestFromOwner<Request, Response>(
    shardKey: string,
    method: wire.PeerMethod<Request, Response>,
    request: Request,
  ): Promise<programs.FaultResult<Response>> {
    const { network, shards } = this.options;
    const owner = shards.ownership(shards.shardOf(shardKey))?.owner;
    if (owner === undefined) return trueMyth.Result.err(errors.createFault('home-unavailable'));
    const result = await network.request(owner.address, method, request, {
      timeoutMs: REQUEST_TIMEOUT_MS,
    });
    return result.mapErr((failure) => failure.fault ?? errors.createFault('home-unavailable'));
  }
}
