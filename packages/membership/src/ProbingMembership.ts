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

/** How many members that did not respond last time are probed again in each round. */
const REPEATED_PROBES = 2;

/** How many peers are notified concurrently that this process is leaving. */
const CONCURRENT_ANNOUNCEMENTS = 16;

/** A suspected member is probed once in this number of rounds. */
const ROUNDS_PER_SUSPECTED_PROBE = 3;

/** Changes within this interval are logged in one line, because all members start at once. */
const CHANGE_LOG_INTERVAL_MS = 1_000;

/** Maximum number of members named in a log line. */
const MAXIMUM_LOGGED_MEMBERS = 8;

/** Number of rounds after a pause of this process in which it suspects no member. */
const GRACE_ROUNDS = 4;

const DEFAULT_ABSENCE_MS = 60_000;

/** Interval at which the list is read until the first read succeeds. */
const FIRST_LIST_RETRY_MS = 200;

/** Dependencies and settings of the membership. */
export interface ProbingMembershipOptions {
  readonly network: wire.PeerNetwork;
  readonly vmList: platformClient.VmListClient;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  readonly random: () => number;
  readonly probeIntervalMs: clock.Milliseconds;
  readonly probeTimeoutMs: clock.Milliseconds;
  /** How long a member must be unreachable, directly and through others, to be suspected. */
  readonly suspicionMs: clock.Milliseconds;
  readonly listIntervalMs: clock.Milliseconds;
  /** The interval between reads while the list does not change. Default: `listIntervalMs`. */
  readonly settledListIntervalMs?: clock.Milliseconds;
  /** Addresses from the settings, probed while there is no member to probe. */
  readonly seeds?: readonly string[];
  /**
   * How long a VM that was never listed must be absent from successful reads of the list to prove
   * that it has ended. Must be far above the list's lag.
   */
  readonly absenceMs?: clock.Milliseconds;
}

/** Detects members by probes, by the updates that probes carry, and by the platform's list. */
export class ProbingMembership implements Membership {
  public readonly self: wire.PeerIdentity;

  public readonly onChange: lifetime.Event<Member>;

  /** Opens when the list has been read for the first time. */
  public readonly known = new lifetime.Latch();

  private readonly store = new lifetime.DisposableStore();

  private readonly stopping = new AbortController();

  private readonly table: memberTable.MemberTable;

  private readonly pauses: pauseDetector.PauseDetector;

  private readonly prober: prober.Prober;

  private probeOrder: string[] = [];

  private rounds = 0;

  private listContents = '';

  private isListUnchanged = false;

  private readonly changed = new Map<string, Member>();

  private changeTimer: clock.Timer | undefined;

  private availableSource: readonly Member[] = [];

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
    this.store.add(network.serve(messages.PROBE, (request) => this.handleProbe(request)));
    this.store.add(
      network.serve(messages.INDIRECT_PROBE, (request) => this.handleIndirectProbe(request)),
    );
    this.store.add(this.onChange((member) => this.logChange(member)));
  }

  /** Reads the list and starts probing. Resolves after the first read, even if it failed. */
  public async start(): Promise<void> {
    await this.readList();
    this.store.add(
      toDisposable(
        this.repeat(
          () => this.nextListIntervalMs,
          () => this.readList(),
        ),
      ),
    );
    this.store.add(
      toDisposable(
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
    if (members === this.availableSource) return this.availableMembers;
    this.availableSource = members;
    this.availableMembers = members.filter(
      (member) =>
        member.state === memberStates.MEMBER_STATES.AVAILABLE &&
        !member.leaving &&
        // A VM that is only listed may have no process yet. Its incarnation is not known.
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
      this.prober.probeIndirectly(record),
    ]);
    if (isReached || indirect.reached || this.pauses.wasPausedRecently()) return false;
    // If other members were asked and none responded, this process itself may be disconnected.
    return indirect.responses > 0 || indirect.asked === 0;
  }

  /** @inheritdoc */
  public hasEnded(name: string, incarnation: string): boolean {
    return this.table.hasEnded(name, incarnation);
  }

  /** @inheritdoc */
  public async announceLeaving(): Promise<void> {
    this.table.markSelfLeaving();
    const records = this.table.others().filter((record) => !record.dropped);
    for (let start = 0; start < records.length; start += CONCURRENT_ANNOUNCEMENTS) {
      const batch = records.slice(start, start + CONCURRENT_ANNOUNCEMENTS);
      await Promise.all(batch.map((record) => this.prober.probeAddress(record.address)));
    }
  }

  /** @inheritdoc */
  public async dispose(): Promise<void> {
    this.changeTimer?.cancel();
    // The signal stops the tasks, and the store waits until they have ended.
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
      this.pauses.check(startedAt, interval);
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
    this.isListUnchanged = contents === this.listContents;
    this.listContents = contents;
    // An empty list lacks even this VM, so it is treated as invalid and ignored.
    if (result.value.length === 0) return;
    this.table.applyList(result.value);
    this.known.open();
  }

  private get nextListIntervalMs(): clock.Milliseconds {
    const { listIntervalMs, settledListIntervalMs = listIntervalMs } = this.options;
    if (!this.known.isOpen) return Math.min(FIRST_LIST_RETRY_MS, listIntervalMs);
    return this.isListUnchanged ? settledListIntervalMs : listIntervalMs;
  }

  private async probeRound(): Promise<void> {
    const records = this.selectRecordsToProbe();
    const seeds = records.length === 0 ? (this.options.seeds ?? []) : [];
    const [seed] = shuffle(seeds, this.options.random);
    if (seed !== undefined) await this.prober.probeAddress(seed);
    await Promise.all(records.map((record) => this.check(record)));
  }

  /**
   * Selects the next neighbour, a few members that did not respond and are not suspected yet, and
   * in some rounds a suspected member. That probe detects the return of a member that cannot
   * announce it.
   */
  private selectRecordsToProbe(): readonly memberTable.MemberRecord[] {
    const { random } = this.options;
    const candidates = this.table.others().filter((record) => !record.dropped);
    const suspected = candidates.filter((record) => record.suspected);
    const others = candidates.filter((record) => !record.suspected);
    const unreachable = others.filter((record) => record.unreachableSince !== undefined);
    const repeated = shuffle(unreachable, random).slice(0, REPEATED_PROBES);
    this.rounds += 1;
    const isSuspectedRound = this.rounds % ROUNDS_PER_SUSPECTED_PROBE === 0 || others.length === 0;
    const suspectedToProbe = isSuspectedRound ? shuffle(suspected, random).slice(0, 1) : [];
    const next = this.takeNext(chooseNeighbours.chooseNeighbours(this.self, others));
    return [...new Set([...repeated, ...suspectedToProbe, ...(next ? [next] : [])])];
  }

  private takeNext(
    candidates: readonly memberTable.MemberRecord[],
  ): memberTable.MemberRecord | undefined {
    const byName = new Map(candidates.map((record) => [record.name, record]));
    this.probeOrder = this.probeOrder.filter((name) => byName.has(name));
    if (this.probeOrder.length === 0)
      this.probeOrder = shuffle([...byName.keys()], this.options.random);
    return byName.get(this.probeOrder.pop() ?? '');
  }

  private async check(record: memberTable.MemberRecord): Promise<void> {
    if (await this.prober.probe(record)) return;
    const indirect = await this.prober.probeIndirectly(record);
    if (indirect.reached || this.pauses.wasPausedRecently()) return;
    this.table.recordUnreachable(record.name, record.incarnation);
  }

  private async handleProbe(
    request: messages.ProbeMessage,
  ): Promise<trueMyth.Result<messages.ProbeMessage, never>> {
    this.prober.handleMessage(request);
    return trueMyth.Result.ok(this.prober.createMessage(request.self.name));
  }

  private async handleIndirectProbe(
    request: messages.IndirectProbeRequest,
  ): Promise<trueMyth.Result<messages.IndirectProbeResponse, never>> {
    const name = await this.prober.probeAddress(request.address, request.name);
    if (name !== request.name) return trueMyth.Result.ok({});
    const reached = this.prober.updateOf(name);
    return trueMyth.Result.ok(reached ? { reached } : {});
  }

  private logChange(member: Member): void {
    this.changed.set(member.name, member);
    this.changeTimer ??= this.options.clock.startTimer(CHANGE_LOG_INTERVAL_MS, () =>
      this.logChanges(),
    );
  }

  private logChanges(): void {
    this.changeTimer = undefined;
    const changed = [...this.changed.values()];
    this.changed.clear();
    const named = changed
      .slice(0, MAXIMUM_LOGGED_MEMBERS)
      .map(({ name, state }) => `${name} ${state}`);
    this.options.logger.info('Members have changed.', {
      count: changed.length,
      reason: `${this.available().length} available; ${named.join(', ')}`,
    });
  }
}

/** Returns a disposable that waits for the end of the task. */
function toDisposable(task: Promise<void>): lifetime.Disposable {
  return { dispose: () => task };
}

function shuffle<Item>(items: readonly Item[], random: () => number): Item[] {
  return items
    .map((item) => ({ item, rank: random() }))
    .sort((left, right) => left.rank - right.rank)
    .map(({ item }) => item);
}
