import type * as clock from '@limpettack/clock';
import type * as wire from '@limpettack/wire';
import type { MemberRecord, MemberTable } from './MemberTable.js';
import * as chooseNeighbours from './chooseNeighbours.js';
import * as messages from './messages.js';
import * as updateQueue from './UpdateQueue.js';
import type * as pauseDetector from './PauseDetector.js';

/** How many other members are asked to probe a member that did not respond. */
const INDIRECT_PROBES = 2;

/**
 * Number of round-robin records per message while no record has changed. Otherwise the message is
 * filled up with them.
 */
const IDLE_RECORDS = 2;

/** Maximum number of suspected members included in each message, until the list drops them. */
const SUSPECTED_PER_MESSAGE = 3;

/** Dependencies and settings of the prober. */
export interface ProberOptions {
  readonly network: Pick<wire.PeerNetwork, 'request' | 'self'>;
  readonly table: MemberTable;
  readonly clock: clock.Clock;
  readonly pauses: pauseDetector.PauseDetector;
  readonly probeTimeoutMs: clock.Milliseconds;
  readonly shuffle: <Item>(items: readonly Item[]) => Item[];
}

/** The result of asking other members to probe a member. */
export interface IndirectOutcome {
  readonly reached: boolean;
  /** How many of the members asked responded. */
  readonly responses: number;
  readonly asked: number;
}

/** Sends probes with membership updates and applies the updates in the responses. */
export class Prober {
  private readonly queue = new updateQueue.UpdateQueue();

  private nextRecord = 0;

  public constructor(private readonly options: ProberOptions) {
    options.table.changes.event((member) => this.queue.add(member.name));
  }

  /** Probes an address. Returns the name of the member that responded, or undefined if none did. */
  public async probeAddress(address: string, priorityName?: string): Promise<string | undefined> {
    const { network, probeTimeoutMs } = this.options;
    const startedAt = this.options.clock.now();
    const request = this.createMessage(priorityName);
    const options = { timeoutMs: probeTimeoutMs, isProbe: true };
    const result = await network.request(address, messages.PROBE, request, options);
    this.options.pauses.check(startedAt, probeTimeoutMs);
    if (result.isErr) return undefined;
    this.handleMessage(result.value);
    return result.value.self.name;
  }

  /** Probes a member at its known address and, if that fails, at its address in the list. */
  public async probe(record: MemberRecord): Promise<boolean> {
    if ((await this.probeAddress(record.address, record.name)) === record.name) return true;
    const other = this.options.table.alternativeAddress(record);
    if (other === undefined) return false;
    return (await this.probeAddress(other, record.name)) === record.name;
  }

  /** Asks other members to probe a member. */
  public async probeIndirectly(record: MemberRecord): Promise<IndirectOutcome> {
    const helpers = this.chooseHelpers(record.name);
    const outcomes = await Promise.all(helpers.map((helper) => this.askHelper(helper, record)));
    return {
      reached: outcomes.some((outcome) => outcome === true),
      responses: outcomes.filter((outcome) => outcome !== undefined).length,
      asked: helpers.length,
    };
  }

  /** Applies a probe or the response to one. */
  public handleMessage(message: messages.ProbeMessage): void {
    this.options.table.applyContact(message.self);
    message.news.forEach((update) => {
      if (this.options.table.applyReport(update)) this.queue.add(update.name);
    });
  }

  /** Creates a message with this process's record and a bounded number of others. */
  public createMessage(priorityName?: string): messages.ProbeMessage {
    const { table } = this.options;
    const known = table.knownUpdates();
    const byName = new Map(known.map((update) => [update.name, update]));
    const changedNames = this.queue.take(messages.UPDATES_PER_MESSAGE, known.length);
    const count = changedNames.length > 0 ? messages.UPDATES_PER_MESSAGE : IDLE_RECORDS;
    const roundRobin = updateQueue.selectRoundRobin(known, this.nextRecord, count);
    this.nextRecord += count;
    // Suspicions are repeated, because a process that has just started relies on the list, which
    // may still contain ended members.
    const suspected = this.options.shuffle(known.filter((update) => update.suspected));
    const suspectedNames = suspected.slice(0, SUSPECTED_PER_MESSAGE).map(({ name }) => name);
    // The receiver's own record comes first: only the member itself can correct a suspicion.
    const names = [
      ...(priorityName ? [priorityName] : []),
      ...changedNames,
      ...suspectedNames,
      ...roundRobin.map(({ name }) => name),
    ];
    const updates = [...new Set(names)].flatMap((name) => byName.get(name) ?? []);
    return { self: table.selfUpdate(), news: updates.slice(0, messages.UPDATES_PER_MESSAGE) };
  }

  /** Returns the update for a member, or undefined if its process is not known. */
  public updateOf(name: string): messages.MemberUpdate | undefined {
    return this.options.table.knownUpdates().find((update) => update.name === name);
  }

  private chooseHelpers(name: string): readonly MemberRecord[] {
    const { network, table } = this.options;
    const candidates = table
      .others()
      .filter((record) => record.name !== name && !record.suspected && !record.dropped);
    const neighbours = chooseNeighbours.chooseNeighbours(network.self, candidates);
    return this.options.shuffle(neighbours).slice(0, INDIRECT_PROBES);
  }

  private async askHelper(
    helper: MemberRecord,
    record: MemberRecord,
  ): Promise<boolean | undefined> {
    // The helper needs time for its own probe in addition to the time of this request.
    const timeoutMs = 2 * this.options.probeTimeoutMs;
    const startedAt = this.options.clock.now();
    const request = { name: record.name, address: record.address };
    const { network, table } = this.options;
    const result = await network.request(helper.address, messages.INDIRECT_PROBE, request, {
      timeoutMs,
    });
    this.options.pauses.check(startedAt, timeoutMs);
    if (result.isErr) return undefined;
    if (result.value.reached) table.applyContact(result.value.reached);
    return result.value.reached !== undefined;
  }
}
