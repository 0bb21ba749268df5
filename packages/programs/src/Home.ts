import type * as clockTypes from '@limpettack/clock';
import type * as configuration from '@limpettack/configuration';
import * as errors from '@limpettack/errors';
import type * as journal from '@limpettack/journal';
import * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import * as trueMyth from 'true-myth';
import type * as wire from '@limpettack/wire';
import * as amounts from './amounts.js';
import * as faults from './faults.js';
import * as expiry from './expiry.js';
import type * as homeCalls from './HomeCalls.js';
import type * as keyedCaller from './KeyedCaller.js';
import * as messages from './messages.js';
import * as programIds from './programIds.js';
import * as records from './records.js';
import * as reservations from './Reservations.js';
import type {
  CallItem,
  CallRequest,
  InDoubtCall,
  JournalBody,
  KeyedCall,
  MemoryRelease,
  FaultResult,
  ProgramState,
  ProgramView,
  RecordedTurn,
  ShardState,
} from './Types.js';

/** Interval of the search for expired programs, in milliseconds. */
const EXPIRY_INTERVAL_MS = 1_000;

/** Dependencies of a home. */
export interface HomeOptions {
  readonly shards: journal.Journal<ShardState, JournalBody>;
  readonly calls: homeCalls.HomeCalls;
  readonly keyed: Pick<keyedCaller.KeyedCaller, 'isRunning'>;
  readonly network: wire.PeerNetwork;
  readonly configuration: configuration.ConfigurationView;
  readonly memory: MemoryRelease;
  readonly clock: clockTypes.Clock;
  readonly logger: logging.Logger;
}

/** A program that has ended, as reported to the metrics. */
export interface EndedProgram {
  readonly route: string;
  /** Time from the opening of the program to its end, in milliseconds. */
  readonly spanMs: clockTypes.Milliseconds;
}

/** The home of the programs whose shards this process owns: serves their calls and requests. */
export class Home implements lifetime.Disposable {
  private readonly store = new lifetime.DisposableStore();

  private readonly controller = new AbortController();

  private readonly endedEmitter = this.store.add(new lifetime.Emitter<EndedProgram>());

  /** Fires when a program has ended here. */
  public readonly onProgramEnded = this.endedEmitter.event;

  /** Memory releases in progress, as program and target; prevents duplicate releases. */
  private readonly releasing = new Set<string>();

  public constructor(private readonly options: HomeOptions) {
    const { network, shards } = options;
    this.store.add(network.serveStream(messages.CALL, (open, sink) => this.serveCall(open, sink)));
    this.store.add(network.serve(messages.OPEN_PROGRAM, (request) => this.open(request)));
    this.store.add(network.serve(messages.SHOW_PROGRAM, async (request) => this.show(request)));
    this.store.add(
      network.serve(messages.SHOW_ANY_PROGRAM, async ({ program }) =>
        this.find(program).map((found) => this.view(found)),
      ),
    );
    this.store.add(network.serve(messages.END_PROGRAM, (request) => this.endByRequest(request)));
    this.store.add(network.serve(messages.SHOW_TURN, (request) => this.showTurn(request)));
    this.store.add(network.serve(messages.LIST_IN_DOUBT, async () => this.listInDoubt()));
    this.store.add(network.serve(messages.RESOLVE_IN_DOUBT, (request) => this.resolve(request)));
    this.store.add(shards.onLost((shard) => options.calls.abortShard(shard)));
    this.store.add(shards.onOwned((owned) => this.releaseEnded(owned.ownership.shard)));
    this.store.addCallback(() => {
      this.controller.abort();
      options.calls.abortAll();
    });
    for (let shard = 0; shard < shards.shardCount; shard += 1) this.releaseEnded(shard);
    this.expirePrograms();
  }

  /** @inheritdoc */
  public dispose(): Promise<void> {
    return this.store.dispose();
  }

  /** Whether the program belongs to a shard that this process owns and has not ended. */
  public isLive(program: string): boolean {
    const found = this.find(program);
    return found.isOk && found.value.ended === undefined;
  }

  /** Whether this process owns a program's shard. */
  public owns(program: string): boolean {
    return this.options.shards.owned(this.shardOf(program)) !== undefined;
  }

  private async serveCall(request: CallRequest, sink: wire.StreamSink<CallItem>): Promise<void> {
    const started = await this.options.calls.findOrStart(request, sink.closed);
    if (started.isErr) {
      await sink.send(faults.faultItem(started.error));
      return;
    }
    for await (const item of started.value.read(request.resumeAfter)) {
      const isOpen = await sink.send(item);
      if (!isOpen) return;
    }
  }

  private async open(request: {
    workspace?: string | undefined;
    program: string;
    route: string;
    parent?: string | undefined;
    budget: ProgramState['budget'];
    isDefaultBudget: boolean;
  }): Promise<FaultResult<ProgramView>> {
    const shard = this.shardOf(request.program);
    const owned = this.options.shards.owned(shard);
    if (owned === undefined) return trueMyth.Result.err(errors.createFault('not-owner'));
    const known = owned.state.programs.get(request.program);
    if (known !== undefined) return this.show(request);
    const refused = this.refuseChild(owned.state, request);
    if (refused !== undefined) return trueMyth.Result.err(refused);
    const route = this.options.configuration.current().routes.get(request.route);
    if (route === undefined) return trueMyth.Result.err(errors.createFault('route-unknown'));
    const parent = owned.state.programs.get(request.parent ?? '');
    const budget = request.isDefaultBudget ? defaultBudget(request.budget, parent) : request.budget;
    const appended = await this.options.shards.append(
      shard,
      {
        kind: records.RECORD_KINDS.PROGRAM_OPENED,
        program: request.program,
        workspace: request.workspace,
        route: request.route,
        parent: request.parent,
        budget,
        reserved: reservations.amountToReserve(budget, route.defaultMaximumTokens),
      },
      { replicateInOutage: true },
    );
    if (appended.isErr) return trueMyth.Result.err(appended.error);
    return this.show(request);
  }

  private refuseChild(
    state: ShardState,
    request: { workspace?: string | undefined; parent?: string | undefined },
  ): errors.Fault | undefined {
    if (request.parent === undefined) return undefined;
    const parent = state.programs.get(request.parent);
    if (parent === undefined || parent.workspace !== request.workspace) {
      return errors.createFault('program-unknown', 'The workspace has no such parent program.');
    }
    if (parent.ended !== undefined) return errors.createFault('program-ended');
    const left = amounts.available(parent);
    if (left.calls < 1 || left.tokens < 1) return errors.createFault('budget-exhausted');
    return undefined;
  }

  private show(request: {
    workspace?: string | undefined;
    program: string;
  }): FaultResult<ProgramView> {
    const found = this.findFor(request);
    return found.map((program) => this.view(program));
  }

  private async showTurn(request: {
    workspace?: string | undefined;
    program: string;
    turn: number;
  }): Promise<FaultResult<RecordedTurn>> {
    const found = this.findFor(request);
    if (found.isErr) return trueMyth.Result.err(found.error);
    await this.options.calls.awaitTurn(request.program, request.turn);
    const turn = found.value.turns[request.turn - 1];
    if (turn === undefined) return trueMyth.Result.err(errors.createFault('turn-unknown'));
    return trueMyth.Result.ok(turn);
  }

  private async endByRequest(request: {
    workspace?: string | undefined;
    program: string;
    byOperator: boolean;
  }): Promise<FaultResult<ProgramView>> {
    const found = request.byOperator ? this.find(request.program) : this.findFor(request);
    if (found.isErr) return trueMyth.Result.err(found.error);
    const reason = request.byOperator ? records.END_REASONS.OPERATOR : records.END_REASONS.CALLER;
    const ended = await this.end(found.value, reason);
    if (ended !== undefined) return trueMyth.Result.err(ended);
    return trueMyth.Result.ok(this.view(found.value));
  }

  /** Ends a program and its children. Returns a fault if the end could not be recorded. */
  private async end(program: ProgramState, reason: string): Promise<errors.Fault | undefined> {
    const shard = this.shardOf(program.program);
    const owned = this.options.shards.owned(shard);
    if (owned === undefined) return errors.createFault('not-owner');
    const children = [...owned.state.programs.values()].filter(
      (child) => child.parent === program.program && child.ended === undefined,
    );
    await Promise.all(children.map((child) => this.end(child, records.END_REASONS.PARENT)));
    if (program.ended === undefined) {
      this.options.calls.abortProgram(program.program);
      const appended = await this.options.shards.append(
        shard,
        {
          kind: records.RECORD_KINDS.PROGRAM_ENDED,
          program: program.program,
          reason,
          returned: amounts.available(program),
        },
        { replicateInOutage: true },
      );
      if (appended.isErr) return appended.error;
      const spanMs = this.options.clock.now() - program.openedAt;
      this.endedEmitter.fire({ route: program.route, spanMs });
    }
    this.releaseMemory(shard, program);
    return undefined;
  }

  /** Releases the engine memory of an ended program and journals each acknowledgement. */
  private releaseMemory(shard: number, program: ProgramState): void {
    const targetsToRelease = new Set([
      ...program.holdings,
      ...this.options.calls.targetsOf(program.program),
    ]);
    targetsToRelease.forEach((target) => this.releaseFrom(shard, program, target));
    this.options.calls.discardProgram(program.program);
  }

  private async releaseFrom(shard: number, program: ProgramState, target: string): Promise<void> {
    const name = `${program.program} ${target}`;
    if (this.releasing.has(name)) return;
    this.releasing.add(name);
    await this.options.memory.release(target, program.program);
    await this.options.shards.append(
      shard,
      { kind: records.RECORD_KINDS.MEMORY_RELEASED, program: program.program, target },
      { replicateInOutage: true },
    );
    this.releasing.delete(name);
  }

  private releaseEnded(shard: number): void {
    const owned = this.options.shards.owned(shard);
    if (owned === undefined) return;
    [...owned.state.programs.values()]
      .filter((program) => program.ended !== undefined)
      .forEach((program) => this.releaseMemory(shard, program));
  }

  private listInDoubt(): FaultResult<InDoubtCall[]> {
    const calls: InDoubtCall[] = [];
    for (let shard = 0; shard < this.options.shards.shardCount; shard += 1) {
      const owned = this.options.shards.owned(shard);
      const inDoubt = [...(owned?.state.keyedCalls.values() ?? [])].filter((call) =>
        this.isInDoubt(call),
      );
      inDoubt.forEach((call) => {
        calls.push({
          callKey: call.callKey,
          workspace: call.workspace,
          route: call.route,
          program: call.program,
          turn: call.turn,
          target: call.target,
          idempotencyKey: call.idempotencyKey,
          shard,
          note: this.options.configuration.current().routes.get(call.route)?.note ?? '',
        });
      });
    }
    return trueMyth.Result.ok(calls);
  }

  private async resolve(request: {
    callKey: string;
    outcome: 'ran' | 'not-run';
    note: string;
  }): Promise<FaultResult<{ resolved: boolean }>> {
    const shardKey = programIds.shardKeyOfCallKey(request.callKey);
    if (shardKey === undefined) return trueMyth.Result.err(errors.createFault('bad-request'));
    const shard = this.options.shards.shardOf(shardKey);
    const owned = this.options.shards.owned(shard);
    if (owned === undefined) return trueMyth.Result.err(errors.createFault('not-owner'));
    const call = owned.state.keyedCalls.get(request.callKey);
    if (call === undefined || !this.isInDoubt(call)) {
      return trueMyth.Result.err(errors.createFault('not-found', 'The call is not in doubt.'));
    }
    const appended = await this.options.shards.append(
      shard,
      { kind: records.RECORD_KINDS.CALL_RESOLVED, ...request },
      { replicateInOutage: false },
    );
    return appended.map(() => ({ resolved: true }));
  }

  /**
   * Whether a call has no outcome and does not run here. A call that still runs here will get an
   * outcome, so operators must not resolve it.
   */
  private isInDoubt(call: KeyedCall): boolean {
    return call.outcome === undefined && !this.options.keyed.isRunning(call.intentId);
  }

  private async expirePrograms(): Promise<void> {
    while (!this.controller.signal.aborted) {
      await this.options.clock.sleep(EXPIRY_INTERVAL_MS, this.controller.signal);
      const now = this.options.clock.now();
      for (let shard = 0; shard < this.options.shards.shardCount; shard += 1) {
        const programs = this.options.shards.owned(shard)?.state.programs.values() ?? [];
        await Promise.all(
          [...programs]
            .filter((program) => program.ended === undefined && program.complete)
            .filter((program) => expiry.expiryOf(program) <= now)
            .map((program) => this.end(program, records.END_REASONS.EXPIRED)),
        );
      }
    }
  }

  private findFor(request: {
    workspace?: string | undefined;
    program: string;
  }): FaultResult<ProgramState> {
    const found = this.find(request.program);
    if (found.isOk && found.value.workspace !== request.workspace) {
      return trueMyth.Result.err(errors.createFault('program-unknown'));
    }
    return found;
  }

  private find(id: string): FaultResult<ProgramState> {
    const owned = this.options.shards.owned(this.shardOf(id));
    if (owned === undefined) return trueMyth.Result.err(errors.createFault('not-owner'));
    const program = owned.state.programs.get(id);
    if (program === undefined) return trueMyth.Result.err(errors.createFault('program-unknown'));
    return trueMyth.Result.ok(program);
  }

  private shardOf(program: string): number {
    return this.options.shards.shardOf(programIds.rootOf(program));
  }

  private view(program: ProgramState): ProgramView {
    const shard = this.shardOf(program.program);
    return {
      program: program.program,
      workspace: program.workspace,
      route: program.route,
      parent: program.parent,
      budget: program.budget,
      spent: program.spent,
      reserved: program.reserved,
      turns: program.turns.length,
      ended: program.ended,
      complete: program.complete,
      shard,
      owner: this.options.shards.ownership(shard)?.owner.name ?? '',
    };
  }
}

/**
 * By default, a child program leaves half of the available budget to its parent and later children.
 */
function defaultBudget(
  budget: ProgramState['budget'],
  parent: ProgramState | undefined,
): ProgramState['budget'] {
  if (parent === undefined) return budget;
  return { ...budget, ...amounts.minimum(budget, amounts.half(amounts.available(parent))) };
}
