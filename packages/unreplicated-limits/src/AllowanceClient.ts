import type * as clock from '@limpettack/clock';
import type * as logging from '@limpettack/logging';
import type * as membership from '@limpettack/membership';
import type * as wire from '@limpettack/wire';
import * as allowanceOwner from './AllowanceOwner.js';
import * as messages from './messages.js';
import type { AdmissionResult, AdmissionRequest, LimitLookup } from './Types.js';
import * as workspaceAllowance from './WorkspaceAllowance.js';

/** Timeout of a request to the owner; longer than the owner lets a request wait for the refill. */
const TAKE_TIMEOUT_MS = 900;

/** Dependencies of the client. */
export interface AllowanceClientOptions {
  readonly owner: allowanceOwner.AllowanceOwner;
  readonly network: Pick<wire.PeerNetwork, 'self' | 'request'>;
  readonly membership: Pick<membership.Membership, 'available'>;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  readonly limitOf: LimitLookup;
  /** If given, retry delays are varied with these numbers from 0 to 1. */
  readonly random?: (() => number) | undefined;
  /** Whether owners are told the programs of first calls, so that they recognize running ones. */
  readonly namesPrograms?: boolean;
}

/** Admits requests with the tokens that the owners of the limits grant to this process. */
export class AllowanceClient {
  private readonly allowances = new Map<string, workspaceAllowance.WorkspaceAllowance>();

  public constructor(private readonly options: AllowanceClientOptions) {}

  /**
   * Charges a request to the limit of its workspace. Workspaces without a limit are always
   * admitted.
   */
  public async admit(request: AdmissionRequest): Promise<AdmissionResult> {
    const { mayStartProgram, program, workspace } = request;
    if (this.options.limitOf(workspace) === undefined) return { isAdmitted: true };
    const allowance = this.allowanceOf(workspace);
    const isBegin = mayStartProgram && program !== undefined && !allowance.programs.has(program);
    const namedProgram = this.options.namesPrograms === true ? program : undefined;
    const admission = await allowance.admit({
      isBegin,
      program: namedProgram,
      maximumWaitMs: request.maximumWaitMs,
    });
    if (admission.isAdmitted && program !== undefined) {
      allowance.programs.add(program, this.options.clock.now());
    }
    return admission;
  }

  private allowanceOf(workspace: string): workspaceAllowance.WorkspaceAllowance {
    const known = this.allowances.get(workspace);
    if (known !== undefined) return known;
    const created = new workspaceAllowance.WorkspaceAllowance({
      clock: this.options.clock,
      requestFromOwner: (request) => this.requestFromOwner({ workspace, ...request }),
      requestFromDeputy: (request) => this.requestFromDeputy({ workspace, ...request }),
      random: this.options.random,
    });
    this.allowances.set(workspace, created);
    return created;
  }

  private async requestFromOwner(
    request: messages.AllowanceRequest,
  ): Promise<messages.AllowanceResponse | undefined> {
    const { membership: members, network, owner } = this.options;
    const member = allowanceOwner.ownerOf(request.workspace, members.available());
    if (member === undefined || member.name === network.self.name) return owner.take(request);
    return this.request(member, messages.TAKE_ALLOWANCE, request);
  }

  private async requestFromDeputy(
    request: messages.AllowanceRequest,
  ): Promise<messages.AllowanceResponse | undefined> {
    const { membership: members, network, owner } = this.options;
    const member = allowanceOwner.deputyOf(request.workspace, members.available());
    if (member === undefined || member.name === network.self.name) {
      return owner.takeAsDeputy(request);
    }
    return this.request(member, messages.TAKE_FROM_DEPUTY, request);
  }

  private async request(
    member: membership.Member,
    method: typeof messages.TAKE_ALLOWANCE,
    request: messages.AllowanceRequest,
  ): Promise<messages.AllowanceResponse | undefined> {
    const { logger, network } = this.options;
    const options = { timeoutMs: TAKE_TIMEOUT_MS };
    const response = await network.request(member.address, method, request, options);
    if (response.isOk) return response.value;
    logger.warn('A VM that grants a limit did not respond.', {
      workspace: request.workspace,
      peer: member.name,
      kind: method.name,
      count: request.needed,
      reason: response.error.message,
    });
    return undefined;
  }
}
