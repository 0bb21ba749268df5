import type * as clock from '@limpettack/clock';
import * as keyedLog from '@limpettack/keyed-log';
import * as lifetime from '@limpettack/lifetime';
import * as limits from '@limpettack/limits';
import type * as membership from '@limpettack/membership';
import type * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';
import * as messages from './messages.js';
import * as shares from './shares.js';
import type { LimitLookup, WorkspaceLimit } from './Types.js';

/** What a workspace without a limit gets at a time. */
const UNLIMITED_GRANT = 1_000_000;

/** What the owner needs. */
export interface AllowanceOwnerOptions {
  readonly network: wire.PeerNetwork;
  readonly membership: Pick<membership.Membership, 'available' | 'onChange'>;
  readonly clock: clock.Clock;
  readonly limitOf: LimitLookup;
}

interface OwnedLimit {
  readonly bucket: limits.TokenBucket;
  limit: WorkspaceLimit;
}

/** The limits of the workspaces that this process owns: each is one bucket for the whole fleet. */
export class AllowanceOwner implements lifetime.Disposable {
  private readonly store = new lifetime.DisposableStore();

  private readonly owned = new Map<string, OwnedLimit>();

  public constructor(private readonly options: AllowanceOwnerOptions) {
    this.store.add(
      options.network.serve(messages.TAKE_ALLOWANCE, async ({ count, workspace }) =>
        trueMyth.Result.ok(this.take(workspace, count)),
      ),
    );
    this.store.add(options.membership.onChange(() => this.forgetForeign()));
  }

  /** Hands out up to a number of requests. */
  public take(workspace: string, count: number): messages.AllowanceAnswer {
    const limit = this.options.limitOf(workspace);
    if (limit === undefined) return { granted: UNLIMITED_GRANT, retryAfterMs: 0 };
    const { bucket } = this.settled(workspace, limit);
    const granted = Math.min(count, Math.floor(bucket.level));
    bucket.take(granted);
    const missing = 1 - bucket.level;
    return { granted, retryAfterMs: granted > 0 ? 0 : bucket.timeFor(missing) };
  }

  /** @inheritdoc */
  public async dispose(): Promise<void> {
    await this.store.dispose();
  }

  private settled(workspace: string, limit: WorkspaceLimit): OwnedLimit {
    const now = this.options.clock.now();
    const known = this.owned.get(workspace);
    if (known === undefined) {
      const shared = shares.ownerLimit(limit);
      const bucket = new limits.TokenBucket(shares.startTokens(shared), now, shared);
      const created = { bucket, limit };
      this.owned.set(workspace, created);
      return created;
    }
    known.bucket.settle(now, 0);
    if (!equal(known.limit, limit)) {
      known.bucket.setLimit(shares.ownerLimit(limit));
      known.bucket.settle(now, 0);
      known.limit = limit;
    }
    return known;
  }

  /** What another owner hands out is unknown here, so a bucket is not kept for its return. */
  private forgetForeign(): void {
    const { membership: members, network } = this.options;
    const available = members.available();
    [...this.owned.keys()]
      .filter((workspace) => ownerOf(workspace, available)?.name !== network.self.name)
      .forEach((workspace) => this.owned.delete(workspace));
  }
}

/** The member that owns the limit of a workspace. */
export function ownerOf<Member extends wire.PeerIdentity>(
  workspace: string,
  members: readonly Member[],
): Member | undefined {
  return keyedLog.rankByRendezvous(`limit/${workspace}`, members, ({ name }) => name)[0];
}

function equal(left: WorkspaceLimit, right: WorkspaceLimit): boolean {
  return left.ratePerSecond === right.ratePerSecond && left.burst === right.burst;
}
