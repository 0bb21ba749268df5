import * as clock from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';
import * as logging from '@limpettack/logging';
import * as membership from '@limpettack/membership';
import * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';
import * as allowanceClient from '../AllowanceClient.js';
import * as allowanceOwner from '../AllowanceOwner.js';
import * as messages from '../messages.js';
import type { WorkspaceLimit } from '../Types.js';

const WORKSPACE = 'w';
const STEP_MS = 5;

/** Duration of an exchange between two VMs. */
const EXCHANGE_MS = 5;

const MAXIMUM_WAIT_MS = 1_000;
const CALLS_PER_PROGRAM = 25;

/** Time between a call of a program and the next one. */
const PAUSE_MS = 450;

/** Settings of a simulated fleet. */
export interface LimitedFleetOptions {
  readonly vmCount: number;
  readonly random?: (() => number) | undefined;
  readonly namesPrograms?: boolean;
}

interface Vm {
  readonly self: wire.PeerIdentity;
  readonly owner: allowanceOwner.AllowanceOwner;
  readonly client: allowanceClient.AllowanceClient;
}

/** VMs that admit the calls of one workspace, on a manual clock without a network. */
export class LimitedFleet {
  public readonly time = new clock.ManualClock();

  /** Times at which calls were admitted. */
  public readonly admittedAt: number[] = [];

  public finishedPrograms = 0;

  /** Tokens that programs used before they failed. */
  public wastedTokens = 0;

  /** Names of the VMs that cannot exchange messages with others. */
  public isolated: readonly string[] = [];

  private available: readonly membership.Member[];

  private readonly changes = new lifetime.Emitter<membership.Member>();

  private readonly vms: readonly Vm[];

  public constructor(
    public limit: WorkspaceLimit,
    private readonly options: LimitedFleetOptions,
  ) {
    this.available = Array.from({ length: options.vmCount }, (_, index) => ({
      name: `vm-${index}`,
      incarnation: '1',
      address: `vm-${index}:1`,
      failureDomain: 'a',
      state: membership.MEMBER_STATES.AVAILABLE,
      listed: true,
      leaving: false,
    }));
    this.vms = this.available.map((self) => this.createVm(self));
  }

  /** The VM that owns the limit. */
  public get owner(): membership.Member {
    return allowanceOwner.ownerOf(WORKSPACE, this.available)!;
  }

  /** Removes the owner from the VM list, so that another VM owns the limit. */
  public removeOwner(): void {
    const { owner } = this;
    this.available = this.available.filter((vm) => vm !== owner);
    this.changes.fire(owner);
  }

  /** Lets time pass in small steps and calls `onStep` at the start of each. */
  public async run(durationMs: number, onStep: () => void): Promise<void> {
    for (let at = 0; at < durationMs; at += STEP_MS) {
      onStep();
      this.time.advance(STEP_MS);
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  }

  /** Sends a call to a VM. Returns the retry delay, or undefined if the call was admitted. */
  public async call(
    vm: number,
    program?: string,
    mayStartProgram = false,
  ): Promise<number | undefined> {
    const { client } = this.vms[vm % this.vms.length]!;
    const request = { workspace: WORKSPACE, program, mayStartProgram };
    const admission = await client.admit({ ...request, maximumWaitMs: MAXIMUM_WAIT_MS });
    if (!admission.isAdmitted) return admission.retryAfterMs;
    this.admittedAt.push(this.time.now());
    return undefined;
  }

  /**
   * Runs a program of turns and tool calls, each at another VM. A rejected call is sent again once,
   * and a second rejection ends the program.
   */
  public async runProgram(id: number): Promise<void> {
    for (let call = 0; call < CALLS_PER_PROGRAM; call += 1) {
      const send = (): Promise<number | undefined> =>
        this.call(id * 31 + call * 7, `program-${id}`, call % 2 === 0);
      const retryAfterMs = await send();
      if (retryAfterMs !== undefined) await this.time.sleep(retryAfterMs);
      if (retryAfterMs !== undefined && (await send()) !== undefined) {
        this.wastedTokens += call;
        return;
      }
      await this.time.sleep(PAUSE_MS);
    }
    this.finishedPrograms += 1;
  }

  /** Maximum number of calls admitted in any window that starts at `since` or later. */
  public maximumWithin(windowMs: number, since = 0): number {
    const times = this.admittedAt.filter((at) => at >= since);
    const counts = times.map(
      (start) => times.filter((at) => at >= start && at <= start + windowMs).length,
    );
    return Math.max(0, ...counts);
  }

  private createVm(self: wire.PeerIdentity): Vm {
    const common = {
      clock: this.time,
      logger: new logging.PartLogger('test'),
      limitOf: () => this.limit,
      membership: { available: () => this.available, onChange: this.changes.event },
      network: {
        self,
        serve: () => ({ dispose: () => undefined }),
        request: this.createRequest(self),
      },
    };
    const owner = new allowanceOwner.AllowanceOwner(common);
    const { namesPrograms = false, random } = this.options;
    const client = new allowanceClient.AllowanceClient({ ...common, random, namesPrograms, owner });
    return { self, owner, client };
  }

  private createRequest(self: wire.PeerIdentity): wire.PeerNetwork['request'] {
    return async (address, method, request, { timeoutMs }) => {
      const peer = this.vms.find((vm) => vm.self.address === address)!;
      if ([self.name, peer.self.name].some((name) => this.isolated.includes(name))) {
        await this.time.sleep(timeoutMs);
        return trueMyth.Result.err({ kind: wire.PEER_FAILURES.TIMED_OUT, message: 'timeout' });
      }
      await this.time.sleep(EXCHANGE_MS);
      const taken = messages.TAKE_ALLOWANCE.request.parse(method.request.parse(request));
      const isDeputy = method.name === messages.TAKE_FROM_DEPUTY.name;
      const response = await (isDeputy ? peer.owner.takeAsDeputy(taken) : peer.owner.take(taken));
      return trueMyth.Result.ok(method.response.parse(response));
    };
  }
}
