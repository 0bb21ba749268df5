import type * as clockTypes from '@limpettack/clock';
import * as errors from '@limpettack/errors';
import type * as journal from '@limpettack/journal';
import * as programs from '@limpettack/programs';
import * as trueMyth from 'true-myth';
import * as wire from '@limpettack/wire';
import type { Homes, OpenProgram, FaultResult } from './Types.js';

/** Pause before a request to a home is retried, in milliseconds. */
const RETRY_PAUSE_MS = 100;

/** Timeout of a short request to a home over all attempts, in milliseconds. */
const SHORT_REQUEST_TIMEOUT_MS = 10_000;

/** Timeout of one attempt of a short request, in milliseconds. */
const SHORT_REQUEST_ATTEMPT_MS = 3_000;

/** Timeout of one attempt to fetch a turn, which may still be running, in milliseconds. */
const TURN_ATTEMPT_MS = 60_000;

const { ITEM_KINDS } = programs;

/** Dependencies of the home client. */
export interface HomeClientOptions {
  readonly network: wire.PeerNetwork;
  readonly shards: Pick<
    journal.Journal<unknown, unknown>,
    'shardOf' | 'ownership' | 'onOwnershipChange'
  >;
  readonly clock: clockTypes.Clock;
}

/** What all attempts of a call together have received. */
interface CallProgress {
  /** Number of chunks. */
  received: number;
  mayHaveRun: boolean;
  running: programs.CallRequest['running'];
}

/**
 * Sends requests to the homes of programs. A home is the VM that owns a program's shard. When a VM
 * is lost, requests to it are retried at the new owner.
 */
export class HomeClient implements Homes {
  public constructor(private readonly options: HomeClientOptions) {}

  /** @inheritdoc */
  public async *call(
    request: programs.CallRequest,
    shardKey: string | undefined,
    abortSignal: AbortSignal,
  ): AsyncGenerator<programs.CallItem, void, void> {
    const { clock } = this.options;
    const deadline = clock.now() + request.remainingMs;
    const progress: CallProgress = { received: 0, mayHaveRun: false, running: undefined };
    while (clock.now() < deadline && !abortSignal.aborted) {
      const hasEnded = yield* this.attemptCall(request, shardKey, deadline, progress, abortSignal);
      if (hasEnded) return;
      await this.waitBeforeRetry(shardKey, abortSignal);
    }
    const kind = progress.mayHaveRun ? 'deadline-exceeded' : 'home-unavailable';
    yield faultItem(errors.createFault(kind), progress.mayHaveRun);
  }

  /** @inheritdoc */
  public open(request: OpenProgram): Promise<FaultResult<programs.ProgramView>> {
    return this.requestWithRetries(
      request.program,
      programs.OPEN_PROGRAM,
      { ...request },
      SHORT_REQUEST_ATTEMPT_MS,
    );
  }

  /** @inheritdoc */
  public show(
    workspace: string | undefined,
    program: string,
  ): Promise<FaultResult<programs.ProgramView>> {
    return this.requestWithRetries(
      program,
      programs.SHOW_PROGRAM,
      { workspace, program },
      SHORT_REQUEST_ATTEMPT_MS,
    );
  }

  /** @inheritdoc */
  public end(
    workspace: string | undefined,
    program: string,
    byOperator: boolean,
  ): Promise<FaultResult<programs.ProgramView>> {
    const request = { workspace, program, byOperator };
    return this.requestWithRetries(
      program,
      programs.END_PROGRAM,
      request,
      SHORT_REQUEST_ATTEMPT_MS,
    );
  }

  /** @inheritdoc */
  public showTurn(
    workspace: string | undefined,
    program: string,
    turn: number,
  ): Promise<FaultResult<programs.RecordedTurn>> {
    return this.requestWithRetries(
      program,
      programs.SHOW_TURN,
      { workspace, program, turn },
      TURN_ATTEMPT_MS,
    );
  }

  /** Makes one attempt of a call. Returns true if no further attempt is needed. */
  private async *attemptCall(
    request: programs.CallRequest,
    shardKey: string | undefined,
    deadline: clockTypes.Milliseconds,
    progress: CallProgress,
    abortSignal: AbortSignal,
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
    abortSignal.addEventListener('abort', cancel, { once: true });
    try {
      for (;;) {
        const next = await stream.next();
        if (next.isErr || next.value === undefined) {
          progress.mayHaveRun = true;
          return abortSignal.aborted;
        }
        const item = next.value;
        if (item.kind === ITEM_KINDS.FAULT && isRetryableElsewhere(item.fault)) {
          if (item.fault.run !== errors.RUN_STATES.NOT_RUN) progress.mayHaveRun = true;
          return false;
        }
        recordProgress(item, progress);
        yield item.kind === ITEM_KINDS.FAULT ? faultItem(item.fault, progress.mayHaveRun) : item;
        if (item.kind === ITEM_KINDS.FAULT || item.kind === ITEM_KINDS.FINISHED) return true;
      }
    } finally {
      abortSignal.removeEventListener('abort', cancel);
      stream.dispose();
    }
  }

  /** Sends a repeatable request and retries it until a home responds or the timeout expires. */
  private async requestWithRetries<Request, Response>(
    program: string,
    method: wire.PeerMethod<Request, Response>,
    request: Request,
    attemptTimeoutMs: clockTypes.Milliseconds,
  ): Promise<FaultResult<Response>> {
    const { clock, network } = this.options;
    const shardKey = programs.rootOf(program);
    const deadline = clock.now() + Math.max(SHORT_REQUEST_TIMEOUT_MS, attemptTimeoutMs);
    let maybeSent = false;
    while (clock.now() < deadline) {
      const address = this.addressOf(shardKey);
      if (address !== undefined) {
        const result = await network.request(address, method, request, {
          timeoutMs: attemptTimeoutMs,
        });
        if (result.isOk) return trueMyth.Result.ok(result.value);
        const { kind, fault } = result.error;
        if (fault !== undefined && !isRetryableElsewhere(fault)) return trueMyth.Result.err(fault);
        maybeSent = maybeSent || kind !== wire.PEER_FAILURES.NOT_SENT;
      }
      await this.waitBeforeRetry(shardKey, undefined);
    }
    const run = maybeSent ? errors.RUN_STATES.UNKNOWN : errors.RUN_STATES.NOT_RUN;
    return trueMyth.Result.err(errors.createFault('home-unavailable', undefined, { run }));
  }

  /**
   * The address of the owner of a key's shard, if known. Calls without a shard key run on this VM.
   */
  private addressOf(shardKey: string | undefined): string | undefined {
    if (shardKey === undefined) return this.options.network.self.address;
    const { shards } = this.options;
    return shards.ownership(shards.shardOf(shardKey))?.owner.address;
  }

  /** Waits until the retry pause is over, the shard has a new owner or the signal is aborted. */
  private async waitBeforeRetry(
    shardKey: string | undefined,
    abortSignal: AbortSignal | undefined,
  ): Promise<void> {
    const controller = new AbortController();
    const wake = (): void => controller.abort();
    abortSignal?.addEventListener('abort', wake, { once: true });
    const { shards, clock } = this.options;
    const shard = shardKey === undefined ? -1 : shards.shardOf(shardKey);
    const watch = shards.onOwnershipChange((ownership) => {
      if (ownership.shard === shard) wake();
    });
    await clock.sleep(RETRY_PAUSE_MS, controller.signal);
    watch.dispose();
    abortSignal?.removeEventListener('abort', wake);
  }
}

/** Whether the fault means that the request must be sent to another home. */
function isRetryableElsewhere(fault: errors.Fault): boolean {
  return fault.kind === 'not-owner' || fault.kind === 'shutting-down';
}

function recordProgress(item: programs.CallItem, progress: CallProgress): void {
  if (item.kind === ITEM_KINDS.CHUNK) progress.received = item.index + 1;
  if (item.kind === ITEM_KINDS.STARTED) {
    progress.running = { target: item.target, callId: item.callId };
  }
}

/** A fault item for the caller. It states "not run" only if no earlier attempt may have run. */
function faultItem(fault: errors.Fault, mayHaveRun: boolean): programs.CallItem {
  const hidesEarlierRun = mayHaveRun && fault.run === errors.RUN_STATES.NOT_RUN;
  const run = hidesEarlierRun ? errors.RUN_STATES.UNKNOWN : fault.run;
  return { kind: ITEM_KINDS.FAULT, fault: { ...fault, run } };
}
