import type * as clock from '@limpettack/clock';
import * as keyedLog from '@limpettack/keyed-log';
import * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import type * as membership from '@limpettack/membership';
import type * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';
import * as messages from './messages.js';
import * as ownedLimit from './OwnedLimit.js';
import * as shares from './shares.js';
import type { LimitLookup } from './Types.js';

/** Tokens granted at once to a workspace without a limit. */
const UNLIMITED_GRANT = 1_000_000;

/** Dependencies of the owner. */
export interface AllowanceOwnerOptions {
  readonly network: Pick<wire.PeerNetwork, 'self' | 'serve'>;
  readonly membership: Pick<membership.Membership, 'available' | 'onChange'>;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  readonly limitOf: LimitLookup;
}

/**
 * The workspace limits that this process owns. Each is a token bucket for the whole fleet. The VM that
 * ranks second for a limit is its deputy, and will own it if the owner ends: it grants a small share
 * to VMs that cannot reach the owner, so that what they get together does not grow with their number.
 */
export class AllowanceOwner implements lifetime.Disposable {
  private readonly store = new lifetime.DisposableStore();

  private readonly owned = new Map<string, ownedLimit.OwnedLimit>();

  /** The shares that this process grants as a deputy. They last, so that none is granted twice. */
  private readonly deputized = new Map<string, ownedLimit.OwnedLimit>();

  public constructor(private readonly options: AllowanceOwnerOptions) {
    this.store.add(
      options.network.serve(messages.TAKE_ALLOWANCE, async (request) =>
        trueMyth.Result.ok(await this.take(request)),
      ),
    );
    this.store.add(
      options.network.serve(messages.TAKE_FROM_DEPUTY, async (request) =>
        trueMyth.Result.ok(await this.takeAsDeputy(request)),
      ),
    );
    this.store.add(options.membership.onChange(() => this.removeLimitsOfOtherOwners()));
  }

  /** Grants tokens of a workspace, one for each request. */
  public take(request: messages.AllowanceRequest): Promise<messages.AllowanceResponse> {
    return this.takeFrom(this.owned, request, {
      shareOf: shares.ownerLimit,
      initialTokens: shares.initialTokens,
    });
  }

  /**
   * Grants tokens of a workspace to a VM that cannot reach the owner: of a small share of the limit,
   * or of the whole limit if this process already owns it, which the VM does not know yet.
   */
  public takeAsDeputy(request: messages.AllowanceRequest): Promise<messages.AllowanceResponse> {
    const { membership: members, network } = this.options;
    const owner = ownerOf(request.workspace, members.available());
    if (owner?.name === network.self.name) return this.take(request);
    return this.takeFrom(this.deputized, request, {
      shareOf: shares.deputyLimit,
      initialTokens: ({ burst }) => burst,
    });
  }

  /** @inheritdoc */
  public async dispose(): Promise<void> {
    await this.store.dispose();
  }

  private async takeFrom(
    granted: Map<string, ownedLimit.OwnedLimit>,
    request: messages.AllowanceRequest,
    share: Pick<ownedLimit.OwnedLimitOptions, 'shareOf' | 'initialTokens'>,
  ): Promise<messages.AllowanceResponse> {
    const { clock: time, limitOf, logger, membership: members } = this.options;
    const { workspace } = request;
    const limit = limitOf(workspace);
    if (limit === undefined) return { granted: UNLIMITED_GRANT, retryAfterMs: 0 };
    const known = granted.get(workspace);
    if (known !== undefined) return known.take(request, limit);
    const created = new ownedLimit.OwnedLimit({
      ...share,
      workspace,
      limit,
      clock: time,
      logger,
      memberCount: () => members.available().length,
    });
    granted.set(workspace, created);
    return created.take(request, limit);
  }

  /**
   * Removes the limits that other VMs own now. This process does not know the grants of those VMs,
   * so it must not reuse its buckets if it becomes the owner again.
   */
  private removeLimitsOfOtherOwners(): void {
    const { membership: members, network } = this.options;
    const available = members.available();
    [...this.owned]
      .filter(([workspace]) => ownerOf(workspace, available)?.name !== network.self.name)
      .forEach(([workspace, limit]) => {
        this.owned.delete(workspace);
        limit.close();
      });
  }
}

/** The member that owns the limit of a workspace. */
export function ownerOf<Member extends wire.PeerIdentity>(
  workspace: string,
  members: readonly Member[],
): Member | undefined {
  return rankFor(workspace, members)[0];
}

/** The member that grants a share of the limit while its owner does not respond. */
export function deputyOf<Member extends wire.PeerIdentity>(
  workspace: string,
  members: readonly Member[],
): Member | undefined {
  return rankFor(workspace, members)[1];
}

function rankFor<Member extends wire.PeerIdentity>(
  workspace: string,
  members: readonly Member[],
): readonly Member[] {
  return keyedLog.rankByRendezvous(`limit/${workspace}`, members, ({ name }) => name);
}
