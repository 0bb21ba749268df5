import type * as clock from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';
import type * as platformClient from '@limpettack/platform-client';
import type * as wire from '@limpettack/wire';
import * as listHistory from './ListHistory.js';
import * as memberStates from './MemberStates.js';
import type { MemberNews } from './messages.js';
import type { Member, MemberState } from './Types.js';

/** How many ended members are remembered. */
const ENDED_MEMBERS_KEPT = 1_024;

/** The record of a member of which nothing has been told. */
const UNTOLD = {
  generation: 0,
  suspected: false,
  announcedLeaving: false,
  revision: 0,
  dropped: false,
};

/** What the table keeps of a member. */
export interface MemberRecord {
  readonly name: string;
  /** Empty until the process has been met. */
  readonly incarnation: string;
  readonly generation: number;
  readonly address: string;
  readonly failureDomain: string;
  readonly suspected: boolean;
  /** Whether the member itself has announced its end. */
  readonly announcedLeaving: boolean;
  readonly revision: number;
  /** Whether the list has dropped the VM since the process was last heard from. */
  readonly dropped: boolean;
  /** The incarnation known when the list dropped the VM: it and earlier ones have ended. */
  readonly endedIncarnation?: string;
  /** When this process last had a message from the member. */
  readonly heardAt?: clock.Milliseconds;
  /** Since when each probe of the member has failed. */
  readonly unreachedSince?: clock.Milliseconds;
}

/** What the table needs. */
export interface MemberTableOptions {
  readonly self: wire.PeerIdentity;
  readonly clock: clock.Clock;
  /** How long a member stays unreached before it is suspected. */
  readonly suspicionMs: clock.Milliseconds;
  /** How long the list must lack a VM that was never seen listed, to prove its end. */
  readonly absenceMs: clock.Milliseconds;
}

/**
 * The known members, and which of the things said about them is believed.
 *
 * The processes of a VM follow each other in the order of their incarnations, which begin with the
 * time of day of their start. Where that has been set back, a process learns from its peers that they
 * know a later one under its name. It cannot be later, since a VM has one process at a time, so the
 * process takes the next generation, which goes before the incarnation in that order.
 */
export class MemberTable {
  public readonly changes = new lifetime.Emitter<Member>();

  private readonly records = new Map<string, MemberRecord>();

  private readonly history = new listHistory.ListHistory();

  private listed: readonly Member[] | undefined;

  public constructor(private readonly options: MemberTableOptions) {
    const { self } = options;
    this.records.set(self.name, { ...self, ...UNTOLD });
  }

  /** This process's own record, as news. */
  public selfNews(): MemberNews {
    return toNews(this.records.get(this.options.self.name)!);
  }

  /** Records of all members that have been met, this one left out. */
  public metNews(): readonly MemberNews[] {
    return this.others()
      .filter((record) => record.incarnation !== '' && !record.dropped)
      .map(toNews);
  }

  /** All records but this process's own. */
  public others(): readonly MemberRecord[] {
    return [...this.records.values()].filter((record) => record.name !== this.options.self.name);
  }

  public record(name: string): MemberRecord | undefined {
    return this.records.get(name);
  }

  /** All members, ordered by name; the same list until something changes. */
  public members(): readonly Member[] {
    this.listed ??= [...this.records.values()]
      .map((record) => this.toMember(record))
      .sort((left, right) => (left.name < right.name ? -1 : 1));
    return this.listed;
  }

  public find(name: string): Member | undefined {
    const record = this.records.get(name);
    return record && this.toMember(record);
  }

  /** The address that the list gives for a member, when it differs from the one it gave itself. */
  public otherAddress(record: MemberRecord): string | undefined {
    const listed = this.history.listing(record.name)?.address;
    return listed === record.address ? undefined : listed;
  }

  /** Notes that the process has announced its own end. */
  public markSelfLeaving(): void {
    const self = this.records.get(this.options.self.name)!;
    this.store({ ...self, announcedLeaving: true, revision: self.revision + 1 });
  }

  /** Takes in what a member says of itself: it is there. */
  public hear(news: MemberNews): void {
    if (news.name === this.options.self.name) return;
    const known = this.records.get(news.name);
    if (known && compareProcesses(known, news) > 0) return;
    // A member that has not yet heard that it is suspected repeats its old revision.
    const isOlder = known?.incarnation === news.incarnation && known.revision > news.revision;
    const latest = isOlder ? toNews(known) : news;
    this.history.restartAbsence(news.name);
    this.store({ ...fromNews(latest), suspected: false, heardAt: this.options.clock.now() });
  }

  /** Takes in what another member says of one. Returns whether this process learnt from it. */
  public learn(news: MemberNews): boolean {
    if (news.name === this.options.self.name) return this.refute(news);
    const known = this.records.get(news.name);
    if (known && !isNewer(news, known)) return false;
    const isSameProcess = known?.incarnation === news.incarnation;
    // A process that answered just now is not suspected on hearsay.
    if (isSameProcess && news.suspected && this.wasHeardLately(known)) return false;
    if (isSameProcess) this.store({ ...known, ...fromNews(news), dropped: known.dropped });
    else this.store(fromNews(news));
    return true;
  }

  /** Takes in a successful read of the platform's list. */
  public applyList(vms: readonly platformClient.ListedVm[]): void {
    const before = this.members();
    const dropped = this.history.apply(vms, this.options.clock.now());
    this.listed = undefined;
    vms.filter((vm) => !this.records.has(vm.name)).forEach((vm) => this.addListed(vm));
    vms.forEach((vm) => this.update(vm.name, { dropped: false }, true));
    vms.forEach((vm) => this.learnListed(vm));
    dropped.forEach((vm) => this.update(vm.name, this.endOf(vm.name)));
    before.forEach((member) => this.fireIfChanged(member));
    this.forgetEnded();
  }

  /** Notes that neither this process nor others reached the member. True when it is suspected. */
  public noteUnreached(name: string, incarnation: string): boolean {
    const known = this.records.get(name);
    if (known?.incarnation !== incarnation) return false;
    const now = this.options.clock.now();
    const unreachedSince = known.unreachedSince ?? now;
    const suspected = known.suspected || now - unreachedSince >= this.options.suspicionMs;
    this.store({ ...known, unreachedSince, suspected });
    return suspected;
  }

  /** See `Membership.hasEnded`. */
  public hasEnded(name: string, incarnation: string): boolean {
    if (name === this.options.self.name) return incarnation < this.options.self.incarnation;
    const known = this.records.get(name);
    if (known && known.incarnation > incarnation) return true;
    const ended = known?.endedIncarnation;
    if (ended !== undefined && incarnation <= ended) return true;
    if (this.history.listing(name)) return false;
    if (known?.dropped && known.incarnation === '') return true;
    return this.history.absentFor(name) >= this.options.absenceMs;
  }

  private endOf(name: string): Partial<MemberRecord> {
    const endedIncarnation = this.records.get(name)?.incarnation ?? '';
    return endedIncarnation === '' ? { dropped: true } : { dropped: true, endedIncarnation };
  }

  private wasHeardLately(record: MemberRecord): boolean {
    if (record.heardAt === undefined || record.unreachedSince !== undefined) return false;
    return this.options.clock.now() - record.heardAt < this.options.suspicionMs;
  }

  private refute(news: MemberNews): boolean {
    const self = this.records.get(this.options.self.name)!;
    if (compareProcesses(news, self) > 0) {
      this.store({ ...self, generation: news.generation + 1 });
      return true;
    }
    if (news.incarnation !== self.incarnation || news.revision < self.revision) return false;
    if (!news.suspected && news.leaving === self.announcedLeaving) return false;
    this.store({ ...self, revision: news.revision + 1 });
    return true;
  }

  private addListed(vm: platformClient.ListedVm): void {
    const { name, address, failureDomain } = vm;
    this.store({ name, address, failureDomain, incarnation: '', ...UNTOLD });
  }

  /** A process that has written its own entry has started, so all are known before they are met. */
  private learnListed({
    address,
    failureDomain,
    incarnation,
    leaving,
    name,
  }: platformClient.ListedVm): void {
    if (incarnation === undefined) return;
    const generation = this.records.get(name)?.generation ?? 0;
    const told = { suspected: false, leaving, revision: 0 };
    this.learn({ name, incarnation, generation, address, failureDomain, ...told });
  }

  private update(name: string, change: Partial<MemberRecord>, isListed = false): void {
    const known = this.records.get(name);
    if (!known || known.name === this.options.self.name) return;
    // A VM that has not been met is where the list says it is.
    const address = isListed && known.incarnation === '' ? this.history.listing(name)?.address : '';
    this.records.set(name, { ...known, ...change, ...(address ? { address } : {}) });
    this.listed = undefined;
  }

  private store(record: MemberRecord): void {
    const before = this.find(record.name);
    this.records.set(record.name, record);
    // Most messages from a member say nothing new, and the list is asked for with each request.
    if (before === undefined || !isSameMember(before, this.toMember(record))) {
      this.listed = undefined;
    }
    if (before) this.fireIfChanged(before);
    else this.changes.fire(this.toMember(record));
  }

  private fireIfChanged(before: Member): void {
    const after = this.find(before.name);
    if (!after) return;
    if (!isSameState(before, after)) this.changes.fire(after);
  }

  private toMember(record: MemberRecord): Member {
    const { name, incarnation, address, failureDomain } = record;
    const listing = this.history.listing(name);
    const leaving = record.announcedLeaving || (listing?.leaving ?? false);
    const state = stateOf(record);
    const listed = listing !== undefined;
    return { name, incarnation, address, failureDomain, state, listed, leaving };
  }

  private forgetEnded(): void {
    const ended = this.others().filter((record) => record.dropped);
    ended
      .slice(0, Math.max(0, ended.length - ENDED_MEMBERS_KEPT))
      .forEach((record) => this.records.delete(record.name));
    if (ended.length > ENDED_MEMBERS_KEPT) this.listed = undefined;
  }
}

function isSameState(left: Member, right: Member): boolean {
  return (
    left.state === right.state &&
    left.incarnation === right.incarnation &&
    left.leaving === right.leaving
  );
}

function isSameMember(left: Member, right: Member): boolean {
  return (
    isSameState(left, right) &&
    left.address === right.address &&
    left.failureDomain === right.failureDomain &&
    left.listed === right.listed
  );
}

function stateOf(record: MemberRecord): MemberState {
  if (record.dropped) return memberStates.MEMBER_STATES.GONE;
  if (record.suspected) return memberStates.MEMBER_STATES.SUSPECTED;
  return memberStates.MEMBER_STATES.AVAILABLE;
}

function isNewer(news: MemberNews, known: MemberRecord): boolean {
  const order = compareProcesses(news, known);
  if (order !== 0) return order > 0;
  if (news.revision !== known.revision) return news.revision > known.revision;
  return news.suspected && !known.suspected;
}

type ProcessOrder = Pick<MemberRecord, 'generation' | 'incarnation'>;

/** Above 0 when the left process of a VM is the later one. */
function compareProcesses(left: ProcessOrder, right: ProcessOrder): number {
  if (left.generation !== right.generation) return left.generation - right.generation;
  if (left.incarnation === right.incarnation) return 0;
  return left.incarnation > right.incarnation ? 1 : -1;
}

function toNews(record: MemberRecord): MemberNews {
  const { announcedLeaving: leaving, name, incarnation, generation } = record;
  const { address, failureDomain, suspected, revision } = record;
  return { name, incarnation, generation, address, failureDomain, suspected, leaving, revision };
}

function fromNews(news: MemberNews): MemberRecord {
  const { leaving, ...rest } = news;
  return { ...rest, announcedLeaving: leaving, dropped: false };
}
