import type * as clock from '@limpettack/clock';
import type * as wire from '@limpettack/wire';
import type { MemberRecord, MemberTable } from './MemberTable.js';
import * as chooseNeighbours from './chooseNeighbours.js';
import * as messages from './messages.js';
import * as newsQueue from './NewsQueue.js';
import type * as pauseDetector from './PauseDetector.js';

/** How many other members are asked to probe one that did not answer. */
const INDIRECT_PROBES = 2;

/** Records that a message tells of in turn while nothing has changed; it is filled up otherwise. */
const QUIET_RECORDS = 2;

/** Suspected members that each message tells of, until the list drops them. */
const SUSPECTED_TOLD = 3;

/** What the prober needs. */
export interface ProberOptions {
  readonly network: Pick<wire.PeerNetwork, 'request' | 'self'>;
  readonly table: MemberTable;
  readonly clock: clock.Clock;
  readonly pauses: pauseDetector.PauseDetector;
  readonly probeTimeoutMs: clock.Milliseconds;
  readonly shuffle: <Item>(items: readonly Item[]) => Item[];
}

/** What came of asking others to probe a member. */
export interface IndirectOutcome {
  readonly reached: boolean;
  /** How many of those asked gave an answer. */
  readonly answers: number;
  readonly asked: number;
}

/** Sends probes, carries news on them, and takes in what comes back. */
export class Prober {
  private readonly queue = new newsQueue.NewsQueue();

  private turn = 0;

  public constructor(private readonly options: ProberOptions) {
    options.table.changes.event((member) => this.queue.add(member.name));
  }

  /** Probes an address. Returns the name of the member that answered there. */
  public async probeAddress(address: string, tellOf?: string): Promise<string | undefined> {
    const { network, probeTimeoutMs } = this.options;
    const startedAt = this.options.clock.now();
    const request = this.message(tellOf);
    const options = { timeoutMs: probeTimeoutMs, isProbe: true };
    const result = await network.request(address, messages.PROBE, request, options);
    this.options.pauses.note(startedAt, probeTimeoutMs);
    if (result.isErr) return undefined;
    this.take(result.value);
    return result.value.self.name;
  }

  /** Probes a member where it was met and, when that fails, where the list says it is. */
  public async probe(record: MemberRecord): Promise<boolean> {
    if ((await this.probeAddress(record.address, record.name)) === record.name) return true;
    const other = this.options.table.otherAddress(record);
    if (other === undefined) return false;
    return (await this.probeAddress(other, record.name)) === record.name;
  }

  /** Asks other members to probe one. */
  public async probeThroughOthers(record: MemberRecord): Promise<IndirectOutcome> {
    const helpers = this.chooseHelpers(record.name);
    const outcomes = await Promise.all(helpers.map((helper) => this.askHelper(helper, record)));
    return {
      reached: outcomes.some((outcome) => outcome === true),
      answers: outcomes.filter((outcome) => outcome !== undefined).length,
      asked: helpers.length,
    };
  }

  /** Takes in a probe or the answer to one. */
  public take(message: messages.ProbeMessage): void {
    this.options.table.hear(message.self);
    message.news.forEach((news) => {
      if (this.options.table.learn(news)) this.queue.add(news.name);
    });
  }

  /** A message with this process's record and a bounded number of others. */
  public message(tellOf?: string): messages.ProbeMessage {
    const { table } = this.options;
    const known = table.metNews();
    const byName = new Map(known.map((news) => [news.name, news]));
    const changed = this.queue.take(messages.NEWS_PER_MESSAGE, known.length);
    const count = changed.length > 0 ? messages.NEWS_PER_MESSAGE : QUIET_RECORDS;
    const inTurn = newsQueue.takeInTurn(known, this.turn, count);
    this.turn += count;
    // The list names members that have ended, and a process that has just started knows no better.
    const suspected = this.options.shuffle(known.filter((news) => news.suspected));
    const lost = suspected.slice(0, SUSPECTED_TOLD).map(({ name }) => name);
    // A suspected member is told so first, because it alone can correct that.
    const names = [
      ...(tellOf ? [tellOf] : []),
      ...changed,
      ...lost,
      ...inTurn.map(({ name }) => name),
    ];
    const news = [...new Set(names)].flatMap((name) => byName.get(name) ?? []);
    return { self: table.selfNews(), news: news.slice(0, messages.NEWS_PER_MESSAGE) };
  }

  /** What is known of a member, as news. */
  public newsOf(name: string): messages.MemberNews | undefined {
    return this.options.table.metNews().find((news) => news.name === name);
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
    // The helper needs the time of a probe of its own besides that of the exchange.
    const timeoutMs = 2 * this.options.probeTimeoutMs;
    const startedAt = this.options.clock.now();
    const request = { name: record.name, address: record.address };
    const { network, table } = this.options;
    const result = await network.request(helper.address, messages.PROBE_FOR, request, {
      timeoutMs,
    });
    this.options.pauses.note(startedAt, timeoutMs);
    if (result.isErr) return undefined;
    if (result.value.reached) table.hear(result.value.reached);
    return result.value.reached !== undefined;
  }
}
