import type * as clock from '@limpettack/clock';
import * as limits from '@limpettack/limits';
import type * as logging from '@limpettack/logging';
import type * as membership from '@limpettack/membership';
import type * as wire from '@limpettack/wire';
import * as allowanceOwner from './AllowanceOwner.js';
import * as messages from './messages.js';
import * as shares from './shares.js';
import type { Admission, LimitLookup, WorkspaceLimit } from './Types.js';

/** Requests that came within this span are the estimate of what the next span needs. */
const DEMAND_SPAN_MS = 200;

/** What has been taken in advance is void after so long, so that no VM hoards. */
const ALLOWANCE_MS = 500;

/** Time for the owner to answer. */
const TAKE_TIMEOUT_MS = 250;

/** After a failure to reach the owner its part is not asked for so long. */
const OWNER_PAUSE_MS = 500;

/** Requests taken at once at most, so that one VM cannot empty a bucket for the others. */
const LARGEST_TAKE = 16;

/** The shortest and the longest time that callers are told to stay away. */
const SHORTEST_RETRY_MS = 50;
const LONGEST_RETRY_MS = 2_000;

/** What the client needs. */
export interface AllowanceClientOptions {
  readonly owner: allowanceOwner.AllowanceOwner;
  readonly network: wire.PeerNetwork;
  readonly membership: Pick<membership.Membership, 'available'>;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  readonly limitOf: LimitLookup;
}

interface Allowance {
  tokens: number;
  voidAt: clock.Milliseconds;
  /** Requests of the running span, for the estimate. */
  demand: number;
  demandSince: clock.Milliseconds;
  taking: Promise<messages.AllowanceAnswer | undefined> | undefined;
  refusedUntil: clock.Milliseconds;
  ownerPausedUntil: clock.Milliseconds;
  detached: limits.TokenBucket | undefined;
}

/** Admits requests from what the owners of the limits have handed out to this process. */
export class AllowanceClient {
  private readonly allowances = new Map<string, Allowance>();

  public constructor(private readonly options: AllowanceClientOptions) {}

  /** Takes one request from the limit of a workspace. */
  public async admit(workspace: string): Promise<Admission> {
    const limit = this.options.limitOf(workspace);
    if (limit === undefined) return { isAdmitted: true };
    const allowance = this.allowanceOf(workspace);
    this.noteDemand(allowance);
    for (;;) {
      if (this.takeLocal(allowance)) return { isAdmitted: true };
      const now = this.options.clock.now();
      if (allowance.refusedUntil > now) return refuse(allowance.refusedUntil - now);
      if (allowance.ownerPausedUntil > now) return this.admitDetached(allowance, limit);
      allowance.taking ??= this.takeFromOwner(workspace, allowance).finally(() => {
        allowance.taking = undefined;
      });
      const answer = await allowance.taking;
      if (answer === undefined) return this.admitDetached(allowance, limit);
    }
  }

  /** Takes one request if it is at hand; for what must go on without waiting. */
  public noteFurtherRun(workspace: string): void {
    const allowance = this.allowances.get(workspace);
    if (allowance !== undefined) this.takeLocal(allowance);
  }

  private takeLocal(allowance: Allowance): boolean {
    if (allowance.voidAt <= this.options.clock.now()) allowance.tokens = 0;
    if (allowance.tokens < 1) return false;
    allowance.tokens -= 1;
    return true;
  }

  private async takeFromOwner(
    workspace: string,
    allowance: Allowance,
  ): Promise<messages.AllowanceAnswer | undefined> {
    const { clock: time, logger } = this.options;
    const count = this.expectedDemand(allowance);
    const answer = await this.ask(workspace, count);
    const now = time.now();
    if (answer === undefined) {
      allowance.ownerPausedUntil = now + OWNER_PAUSE_MS;
      logger.warn('The owner of a limit did not answer.', { workspace, count });
      return undefined;
    }
    allowance.tokens = answer.granted;
    allowance.voidAt = now + ALLOWANCE_MS;
    allowance.refusedUntil = answer.granted > 0 ? 0 : now + answer.retryAfterMs;
    return answer;
  }

  private async ask(
    workspace: string,
    count: number,
  ): Promise<messages.AllowanceAnswer | undefined> {
    const { membership: members, network, owner } = this.options;
    const member = allowanceOwner.ownerOf(workspace, members.available());
    if (member === undefined || member.name === network.self.name) {
      return owner.take(workspace, count);
    }
    const options = { timeoutMs: TAKE_TIMEOUT_MS };
    const request = { workspace, count };
    const answer = await network.request(
      member.address,
      messages.TAKE_ALLOWANCE,
      request,
      options,
    );
    return answer.isOk ? answer.value : undefined;
  }

  /** Without the owner a VM uses its part of what is set aside for this. */
  private admitDetached(allowance: Allowance, limit: WorkspaceLimit): Admission {
    const now = this.options.clock.now();
    const share = shares.detachedLimit(limit, this.options.membership.available().length);
    allowance.detached ??= new limits.TokenBucket(share.burst, now, share);
    const bucket = allowance.detached;
    bucket.settle(now, 0);
    bucket.setLimit({ ...share, burst: Math.max(1, share.burst) });
    if (bucket.level < 1) return refuse(bucket.timeFor(1 - bucket.level));
    bucket.take(1);
    return { isAdmitted: true };
  }

  private noteDemand(allowance: Allowance): void {
    const now = this.options.clock.now();
    if (now - allowance.demandSince > DEMAND_SPAN_MS) {
      // Half of the former span stays in, so that the estimate does not jump.
      allowance.demand /= 2;
      allowance.demandSince = now;
    }
    allowance.demand += 1;
  }

  private expectedDemand(allowance: Allowance): number {
    return Math.min(LARGEST_TAKE, Math.max(1, Math.round(allowance.demand)));
  }

  private allowanceOf(workspace: string): Allowance {
    const known = this.allowances.get(workspace);
    if (known !== undefined) return known;
    const created: Allowance = {
      tokens: 0,
      voidAt: 0,
      demand: 0,
      demandSince: this.options.clock.now(),
      taking: undefined,
      refusedUntil: 0,
      ownerPausedUntil: 0,
      detached: undefined,
    };
    this.allowances.set(workspace, created);
    return created;
  }
}

function refuse(waitMs: clock.Milliseconds): Admission {
  const retryAfterMs = Math.min(LONGEST_RETRY_MS, Math.max(SHORTEST_RETRY_MS, waitMs));
  return { isAdmitted: false, retryAfterMs };
}
