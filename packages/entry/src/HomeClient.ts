import type * as clockTypes from '@limpettack/clock';
import * as errors from '@limpettack/errors';
import type * as journal from '@limpettack/journal';
import * as programs from '@limpettack/programs';
import * as trueMyth from 'true-myth';
import * as wire from '@limpettack/wire';
import type { Homes, OpenProgram, Outcome } from './Types.js';

/** Pause before a home is tried again, in milliseconds. */
const RETRY_PAUSE_MS = 100;

/** Time for a short request to a home, all tries together, in milliseconds. */
const SHORT_REQUEST_LIMIT_MS = 10_000;

/** Time for one try of a short request, in milliseconds. */
const SHORT_REQUEST_TRY_MS = 3_000;

/** Time for a turn that still runs to end when it is fetched, in milliseconds. */
const TURN_TRY_MS = 60_000;

const { ITEM_KINDS } = programs;

/** What the client needs. */
export interface HomeClientOptions {
  readonly network: wire.PeerNetwork;
  readonly shards: Pick<
    journal.Journal<unknown, unknown>,
    'shardOf' | 'ownership' | 'onOwnershipChange'
  >;
  readonly clock: clockTypes.Clock;
}

/** What is known of a call over all tries. */
interface CallProgress {
  received: number;
  mayHaveRun: boolean;
  running: programs.CallRequest['running'];
}

/** Reaches the homes of programs and goes on with another home when one is lost. */
export class HomeClient implements Homes {
  public constructor(private readonly options: HomeClientOptions) {}

  /** @inheritdoc */
  public async *call(
    request: programs.CallRequest,
    shardKey: string | undefined,
    gone: AbortSignal,
  ): AsyncGenerator<programs.CallItem, void, void> {
    const { clock } = this.options;
    const deadline = clock.now() + request.remainingMs;
    const progress: CallProgress = { received: 0, mayHaveRun: false, running: undefined };
    while (clock.now() < deadline && !gone.aborted) {
      const ended = yield* this.tryCall(request, shardKey, deadline, progress, gone);
      if (ended) return;
      await this.pause(shardKey, gone);
    }
    const kind = progress.mayHaveRun ? 'deadline-exceeded' : 'home-unavailable';
    yield faultItem(errors.createFault(kind), progress.mayHaveRun);
  }

  /** @inheritdoc */
  public open(request: OpenProgram): Promise<Outcome<programs.ProgramView>> {
    return this.ask(request.program, programs.OPEN_PROGRAM, { ...request }, SHORT_REQUEST_TRY_MS);
  }

  /** @inheritdoc */
  public show(
    workspace: string | undefined,
    program: string,
  ): Promise<Outcome<programs.ProgramView>> {
    return this.ask(program, programs.SHOW_PROGRAM, { workspace, program }, SHORT_REQUEST_TRY_MS);
  }

  /** @inheritdoc */
  public end(
    workspace: string | undefined,
    program: string,
    byOperator: boolean,
  ): Promise<Outcome<programs.ProgramView>> {
    const request = { workspace, program, byOperator };
    return this.ask(program, programs.END_PROGRAM, request, SHORT_REQUEST_TRY_MS);
  }

  /** @inheritdoc */
  public showTurn(
    workspace: string | undefined,
    program: string,
    turn: number,
  ): Promise<Outcome<programs.RecordedTurn>> {
    return this.ask(program, programs.SHOW_TURN, { workspace, program, turn }, TURN_TRY_MS);
  }

  /** One try; true when the call has ended for the caller. */
  private async *tryCall(
    request: programs.CallRequest,
    shardKey: string | undefined,
    deadline: clockTypes.Milliseconds,
    progress: CallProgress,
    gone: AbortSignal,
  ): AsyncGenerator<programs.CallItem, boolean, void> {
    const address = this.addressOf(shardKey);
    if (address === undefined) return false;
    const opened = await this.options.network.openStream(address, programs.CALL, {
      ...request,
      remainingMs: deadline - this.options.clock.now(),
      resumeAfter: progress.received,
      running: progress.running,
    });
    if (opened.isErr) return false;
    const stream = opened.value;
    const cancel = (): void => {
      stream.dispose();
    };
    gone.addEventListener('abort', cancel, { once: true });
    try {
      for (;;) {
        const next = await stream.next();
        if (next.isErr || next.value === undefined) {
          progress.mayHaveRun = true;
          return gone.aborted;
        }
        const item = next.value;
        if (item.kind === ITEM_KINDS.FAULT && isElsewhere(item.fault)) {
          if (item.fault.run !== errors.RUN_STATES.NOT_RUN) progress.mayHaveRun = true;
          return false;
        }
        note(item, progress);
        yield item.kind === ITEM_KINDS.FAULT ? faultItem(item.fault, progress.mayHaveRun) : item;
        if (item.kind === ITEM_KINDS.FAULT || item.kind === ITEM_KINDS.FINISHED) return true;
      }
    } finally {
      gone.removeEventListener('abort', cancel);
      stream.dispose();
    }
  }

  /** Sends a request that may be repeated, until a home answers it. */
  private async ask<Request, Response>(
    program: string,
    method: wire.PeerMethod<Request, Response>,
    request: Request,
    tryMs: clockTypes.Milliseconds,
  ): Promise<Outcome<Response>> {
    const { clock, network } = this.options;
    const shardKey = programs.rootOf(program);
    const deadline = clock.now() + Math.max(SHORT_REQUEST_LIMIT_MS, tryMs);
    let wasSent = false;
    while (clock.now() < deadline) {
      const address = this.addressOf(shardKey);
      if (address !== undefined) {
        const result = await network.request(address, method, request, { timeoutMs: tryMs });
        if (result.isOk) return trueMyth.Result.ok(result.value);
        const { kind, fault } = result.error;
        if (fault !== undefined && !isElsewhere(fault)) return trueMyth.Result.err(fault);
        wasSent = wasSent || kind !== wire.PEER_FAILURES.NOT_SENT;
      }
      await this.pause(shardKey, undefined);
    }
    const run = wasSent ? errors.RUN_STATES.UNKNOWN : errors.RUN_STATES.NOT_RUN;
    return trueMyth.Result.err(errors.createFault('home-unavailable', undefined, { run }));
  }

  /** The owner of a shard key as known here; calls without one stay on this VM. */
  private addressOf(shardKey: string | undefined): string | undefined {
    if (shardKey === undefined) return this.options.network.self.address;
    const { shards } = this.options;
    return shards.ownership(shards.shardOf(shardKey))?.owner.address;
  }

  /** Waits a little, or until the shard has another owner. */
  private async pause(shardKey: string | undefined, gone: AbortSignal | undefined): Promise<void> {
    const controller = new AbortController();
    const wake = (): void => controller.abort();
    gone?.addEventListener('abort', wake, { once: true });
    const { shards, clock } = this.options;
    const shard = shardKey === undefined ? -1 : shards.shardOf(shardKey);
    const watch = shards.onOwnershipChange((ownership) => {
      if (ownership.shard === shard) wake();
    });
    await clock.sleep(RETRY_PAUSE_MS, controller.signal);
    watch.dispose();
    gone?.removeEventListener('abort', wake);
  }
}

/** Tells whether another VM can take what this home refused. */
function isElsewhere(fault: errors.Fault): boolean {
  return fault.kind === 'not-owner' || fault.kind === 'shutting-down';
}

function note(item: programs.CallItem, progress: CallProgress): void {
  if (item.kind === ITEM_KINDS.CHUNK) progress.received = item.index + 1;
  if (item.kind === ITEM_KINDS.STARTED) {
    progress.running = { target: item.target, callId: item.callId };
  }
}

/** A fault as the caller gets it: "not run" only when no earlier try may have run the call. */
function faultItem(fault: errors.Fault, mayHaveRun: boolean): programs.CallItem {
  const hides = mayHaveRun && fault.run === errors.RUN_STATES.NOT_RUN;
  const run = hides ? errors.RUN_STATES.UNKNOWN : fault.run;
  return { kind: ITEM_KINDS.FAULT, fault: { ...fault, run } };
}
