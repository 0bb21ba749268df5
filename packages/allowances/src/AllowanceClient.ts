import type * as clock from '@limpettack/clock';
import * as limits from '@limpettack/limits';
import type * as logging from '@limpettack/logging';
import type * as membership from '@limpettack/membership';
import type * as wire from '@limpettack/wire';
import * as allowanceOwner from './AllowanceOwner.js';
import * as messages from './messages.js';
import * as shares from './shares.js';
import * as programActivity from './ProgramActivity.js';
import type { Admission, AdmissionRequest, LimitLookup, WorkspaceLimit } from './Types.js';

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
  readonly activity: programActivity.ProgramActivity;
  tokens: number;
  begins: number;
  /** Programs that wait for leave to begin. */
  beginsWanted: number;
  voidAt: clock.Milliseconds;
  /** Requests of the running span, for the estimate. */
  demand: number;
  demandSince: clock.Milliseconds;
  taking: Promise<messages.AllowanceAnswer | undefined> | undefined;
  refusedUntil: clock.Milliseconds;
  beginsRefusedUntil: clock.Milliseconds;
  ownerPausedUntil: clock.Milliseconds;
  detached: limits.TokenBucket | undefined;
}

/** Admits requests from what the owners of the limits have handed out to this process. */
export class AllowanceClient {
  private readonly allowances = new Map<string, Allowance>();

  public constructor(private readonly options: AllowanceClientOptions) {}

  /** Takes one request from the limit of a workspace. */
  public async admit(request: AdmissionRequest): Promise<Admission> {
    const { mayBegin, program, workspace } = request;
    const limit = this.options.limitOf(workspace);
    if (limit === undefined) return { isAdmitted: true };
    const allowance = this.allowanceOf(workspace);
    const { clock: time } = this.options;
    const begins =
      mayBegin && program !== undefined && !allowance.activity.isKnown(program, time.now());
    this.noteDemand(allowance);
    const admission = await this.take(workspace, allowance, limit, begins);
    if (admission.isAdmitted && program !== undefined) {
      allowance.activity.note(program, time.now());
    }
    return admission;
  }

  private async take(
    workspace: string,
    allowance: Allowance,
    limit: WorkspaceLimit,
    begins: boolean,
  ): Promise<Admission> {
    for (;;) {
      if (this.takeLocal(allowance, begins)) return { isAdmitted: true };
      const now = this.options.clock.now();
      const refusedUntil = begins
        ? Math.max(allowance.refusedUntil, allowance.beginsRefusedUntil)
        : allowance.refusedUntil;
      if (refusedUntil > now) return refuse(refusedUntil - now);
      if (allowance.ownerPausedUntil > now) return this.admitDetached(allowance, limit);
      if (begins) allowance.beginsWanted += 1;
      allowance.taking ??= this.takeFromOwner(workspace, allowance).finally(() => {
        allowance.taking = undefined;
      });
      const answer = await allowance.taking;
      if (answer === undefined) return this.admitDetached(allowance, limit);
    }
  }

  private takeLocal(allowance: Allowance, begins: boolean): boolean {
    if (allowance.voidAt <= this.options.clock.now()) {
      allowance.tokens = 0;
      allowance.begins = 0;
    }
    if (allowance.tokens < 1 || (begins && allowance.begins < 1)) return false;
    allowance.tokens -= 1;
    if (begins) allowance.begins -= 1;
    return true;
  }

  private async takeFromOwner(
    workspace: string,
    allowance: Allowance,
  ): Promise<messages.AllowanceAnswer | undefined> {
    const { clock: time, logger } = this.options;
    // What is at hand is given back by asking for less.
    const isVoid = allowance.voidAt <= time.now();
    const count = Math.max(0, this.expectedDemand(allowance) - (isVoid ? 0 : allowance.tokens));
    const begins = Math.min(LARGEST_TAKE, allowance.beginsWanted);
    allowance.beginsWanted = 0;
    const activePrograms = allowance.activity.countActive(time.now());
    const answer = await this.ask({ workspace, count, begins, activePrograms });
    const now = time.now();
    if (answer === undefined) {
      allowance.ownerPausedUntil = now + OWNER_PAUSE_MS;
      logger.warn('The owner of a limit did not answer.', { workspace, count });
      return undefined;
    }
    if (isVoid) allowance.tokens = 0;
    allowance.tokens += answer.granted;
    allowance.begins += answer.begins;
    allowance.voidAt = now + ALLOWANCE_MS;
    if (count > 0) allowance.refusedUntil = answer.granted > 0 ? 0 : now + answer.retryAfterMs;
    if (begins > 0) {
      allowance.beginsRefusedUntil = answer.begins > 0 ? 0 : now + answer.retryAfterMs;
    }
    return answer;
  }

  private async ask(
    request: messages.AllowanceRequest,
  ): Promise<messages.AllowanceAnswer | undefined> {
    const { membership: members, network, owner } = this.options;
    const member = allowanceOwner.ownerOf(request.workspace, members.available());
    if (member === undefined || member.name === network.self.name) {
      return owner.take(request, network.self.name);
    }
    const options = { timeoutMs: TAKE_TIMEOUT_MS };
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
      activity: new programActivity.ProgramActivity(),
      tokens: 0,
      begins: 0,
      beginsWanted: 0,
      voidAt: 0,
      demand: 0,
      demandSince: this.options.clock.now(),
      taking: undefined,
      refusedUntil: 0,
      beginsRefusedUntil: 0,
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
