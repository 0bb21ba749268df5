import type * as clock from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import type * as platformClient from '@limpettack/platform-client';
import type * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';
import * as chooseNeighbours from './chooseNeighbours.js';
import * as memberStates from './MemberStates.js';
import * as memberTable from './MemberTable.js';
import * as messages from './messages.js';
import * as pauseDetector from './PauseDetector.js';
import * as prober from './Prober.js';
import type { Member, Membership } from './Types.js';

/** How many members are probed again in each round because they did not answer the last time. */
const REPEATED_PROBES = 2;

/** How many peers are told at once that this process is leaving. */
const ANNOUNCEMENTS_AT_ONCE = 16;

/** In one of so many rounds a suspected member is probed. */
const ROUNDS_PER_RETURN = 3;

/** Changes of members within this time are logged in one line: all start at once. */
const CHANGE_LOG_MS = 1_000;

/** Members that a line of the log names at most. */
const MEMBERS_NAMED = 8;

/** Rounds after a pause of this process in which it suspects nobody. */
const GRACE_ROUNDS = 4;

const DEFAULT_ABSENCE_MS = 60_000;

/** What the membership needs. */
export interface ProbingMembershipOptions {
  readonly network: wire.PeerNetwork;
  readonly vmList: platformClient.VmListClient;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
  readonly probeIntervalMs: clock.Milliseconds;
  readonly probeTimeoutMs: clock.Milliseconds;
  /** How long a member stays unreached, by this process and through others, until suspected. */
  readonly suspicionMs: clock.Milliseconds;
  readonly listIntervalMs: clock.Milliseconds;
  /** The interval while the list does not change; that between other reads if left out. */
  readonly settledListIntervalMs?: clock.Milliseconds;
  /** Addresses from the settings, probed while no member is known. */
  readonly seeds?: readonly string[];
  /**
   * How long successful reads of the list must lack a VM that this process never saw listed, to
   * prove that it has ended. Far above the list's lag.
   */
  readonly absenceMs?: clock.Milliseconds;
}

/** Membership by probing, news carried on the probes, and the platform's list. */
export class ProbingMembership implements Membership {
  public readonly self: wire.PeerIdentity;

  public readonly onChange: lifetime.Event<Member>;

  private readonly store = new lifetime.DisposableStore();

  private readonly stopping = new AbortController();

  private readonly table: memberTable.MemberTable;

  private readonly pauses: pauseDetector.PauseDetector;

  private readonly prober: prober.Prober;

  private order: string[] = [];

  private rounds = 0;

  private listContents = '';

  private isListSettled = false;

  private readonly changed = new Map<string, Member>();

  private changeTimer: clock.Timer | undefined;

  private availableOf: readonly Member[] = [];

  private availableMembers: readonly Member[] = [];

  public constructor(private readonly options: ProbingMembershipOptions) {
    const { network, probeIntervalMs, probeTimeoutMs, suspicionMs } = options;
    const time = options.clock;
    const absenceMs = options.absenceMs ?? DEFAULT_ABSENCE_MS;
    this.self = network.self;
    this.table = new memberTable.MemberTable({
      self: this.self,
      clock: time,
      suspicionMs,
      absenceMs,
    });
    this.pauses = new pauseDetector.PauseDetector(time, GRACE_ROUNDS * probeIntervalMs);
    this.prober = new prober.Prober({
      network,
      table: this.table,
      clock: time,
      pauses: this.pauses,
      probeTimeoutMs,
      shuffle: (items) => shuffle(items, options.random),
    });
    this.onChange = this.table.changes.event;
    this.store.add(this.table.changes);
    this.store.add(network.serve(messages.PROBE, (request) => this.answerProbe(request)));
    this.store.add(network.serve(messages.PROBE_FOR, (request) => this.answerProbeFor(request)));
    this.store.add(this.onChange((member) => this.logChange(member)));
  }

  /** Reads the list and starts to probe. Resolves when the first read has ended, well or not. */
  public async start(): Promise<void> {
    await this.readList();
    this.store.add(
      runUntilStopped(
        this.repeat(
          () => this.nextListIntervalMs,
          () => this.readList(),
        ),
      ),
    );
    this.store.add(
      runUntilStopped(
        this.repeat(
          () => this.options.probeIntervalMs,
          () => this.probeRound(),
        ),
      ),
    );
  }

  /** @inheritdoc */
  public members(): readonly Member[] {
    return this.table.members();
  }

  /** @inheritdoc */
  public available(): readonly Member[] {
    const members = this.members();
    if (members === this.availableOf) return this.availableMembers;
    this.availableOf = members;
    this.availableMembers = members.filter(
      (member) =>
        member.state === memberStates.MEMBER_STATES.AVAILABLE &&
        !member.leaving &&
        // A VM that is only listed may have no process yet, and its incarnation is not known.
        member.incarnation !== '',
    );
    return this.availableMembers;
  }

  /** @inheritdoc */
  public find(name: string): Member | undefined {
    return this.table.find(name);
  }

  /** @inheritdoc */
  public async confirmUnreachable(name: string): Promise<boolean> {
    const record = this.table.record(name);
    if (!record) return true;
    if (name === this.self.name) return false;
    const [isReached, indirect] = await Promise.all([
      this.prober.probe(record),
      this.prober.probeThroughOthers(record),
    ]);
    if (isReached || indirect.reached || this.pauses.wasPausedLately()) return false;
    // When others are there but none answers, it may be this process that is cut off.
    return indirect.answers > 0 || indirect.asked === 0;
  }

  /** @inheritdoc */
  public hasEnded(name: string, incarnation: string): boolean {
    return this.table.hasEnded(name, incarnation);
  }

  /** @inheritdoc */
  public async announceLeaving(): Promise<void> {
    this.table.markSelfLeaving();
    const records = this.table.others().filter((record) => !record.dropped);
    for (let start = 0; start < records.length; start += ANNOUNCEMENTS_AT_ONCE) {
      const batch = records.slice(start, start + ANNOUNCEMENTS_AT_ONCE);
      await Promise.all(batch.map((record) => this.prober.probeAddress(record.address)));
    }
  }

  /** @inheritdoc */
  public async dispose(): Promise<void> {
    this.changeTimer?.cancel();
    // The tasks end by the signal, and the store waits for their end.
    this.stopping.abort();
    await this.store.dispose();
  }

  private async repeat(
    nextInterval: () => clock.Milliseconds,
    step: () => Promise<void>,
  ): Promise<void> {
    const { signal } = this.stopping;
    while (!signal.aborted) {
      const interval = nextInterval();
      const startedAt = this.options.clock.now();
      await this.options.clock.sleep(interval, signal);
      this.pauses.note(startedAt, interval);
      if (!signal.aborted) await step();
    }
  }

  private async readList(): Promise<void> {
    const result = await this.options.vmList.list();
    if (result.isErr) {
      this.options.logger.warn('The VM list cannot be read.', { kind: result.error.kind });
      return;
    }
    const contents = result.value.map(({ incarnation, name }) => `${name} ${incarnation}`).join();
    this.isListSettled = contents === this.listContents;
    this.listContents = contents;
    // An empty list cannot be right, because this VM reads it; it proves nothing.
    if (result.value.length > 0) this.table.applyList(result.value);
  }

  private get nextListIntervalMs(): clock.Milliseconds {
    const { listIntervalMs, settledListIntervalMs = listIntervalMs } = this.options;
    return this.isListSettled ? settledListIntervalMs : listIntervalMs;
  }

  private async probeRound(): Promise<void> {
    const records = this.nextToProbe();
    const seeds = records.length === 0 ? (this.options.seeds ?? []) : [];
    const [seed] = shuffle(seeds, this.options.random);
    if (seed !== undefined) await this.prober.probeAddress(seed);
    await Promise.all(records.map((record) => this.check(record)));
  }

  /**
   * The next neighbour in turn, a few members that did not answer and are not suspected yet, and at
   * times one that is suspected, so that its return is seen also when it cannot tell of it.
   */
  private nextToProbe(): readonly memberTable.MemberRecord[] {
    const { random } = this.options;
    const candidates = this.table.others().filter((record) => !record.dropped);
    const suspected = candidates.filter((record) => record.suspected);
    const others = candidates.filter((record) => !record.suspected);
    const unreached = others.filter((record) => record.unreachedSince !== undefined);
    const repeated = shuffle(unreached, random).slice(0, REPEATED_PROBES);
    this.rounds += 1;
    const isReturnRound = this.rounds % ROUNDS_PER_RETURN === 0 || others.length === 0;
    const returning = isReturnRound ? shuffle(suspected, random).slice(0, 1) : [];
    const next = this.takeInTurn(chooseNeighbours.chooseNeighbours(this.self, others));
    return [...new Set([...repeated, ...returning, ...(next ? [next] : [])])];
  }

  private takeInTurn(
    candidates: readonly memberTable.MemberRecord[],
  ): memberTable.MemberRecord | undefined {
    const byName = new Map(candidates.map((record) => [record.name, record]));
    this.order = this.order.filter((name) => byName.has(name));
    if (this.order.length === 0) this.order = shuffle([...byName.keys()], this.options.random);
    return byName.get(this.order.pop() ?? '');
  }

  private async check(record: memberTable.MemberRecord): Promise<void> {
    if (await this.prober.probe(record)) return;
    const indirect = await this.prober.probeThroughOthers(record);
    if (indirect.reached || this.pauses.wasPausedLately()) return;
    this.table.noteUnreached(record.name, record.incarnation);
  }

  private async answerProbe(
    request: messages.ProbeMessage,
  ): Promise<trueMyth.Result<messages.ProbeMessage, never>> {
    this.prober.take(request);
    return trueMyth.Result.ok(this.prober.message(request.self.name));
  }

  private async answerProbeFor(
    request: messages.ProbeForRequest,
  ): Promise<trueMyth.Result<messages.ProbeForResponse, never>> {
    const name = await this.prober.probeAddress(request.address, request.name);
    if (name !== request.name) return trueMyth.Result.ok({});
    const reached = this.prober.newsOf(name);
    return trueMyth.Result.ok(reached ? { reached } : {});
  }

  private logChange(member: Member): void {
    this.changed.set(member.name, member);
    this.changeTimer ??= this.options.clock.startTimer(CHANGE_LOG_MS, () => this.logChanges());
  }

  private logChanges(): void {
    this.changeTimer = undefined;
    const changed = [...this.changed.values()];
    this.changed.clear();
    const named = changed.slice(0, MEMBERS_NAMED).map(({ name, state }) => `${name} ${state}`);
    this.options.logger.info('Members have changed.', {
      count: changed.length,
      reason: `${this.available().length} available; ${named.join(', ')}`,
    });
  }
}

/** Lets the owner of a task wait for its end. */
function runUntilStopped(task: Promise<void>): lifetime.Disposable {
  return { dispose: () => task };
}

function shuffle<Item>(items: readonly Item[], random: () => number): Item[] {
  return items
    .map((item) => ({ item, rank: random() }))
    .sort((left, right) => left.rank - right.rank)
    .map(({ item }) => item);
}
