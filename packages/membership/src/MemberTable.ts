import type * as clock from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';
import type * as platformClient from '@limpettack/platform-client';
import type * as wire from '@limpettack/wire';
import * as vmListHistory from './VmListHistory.js';
import * as memberStates from './MemberStates.js';
import type { MemberUpdate } from './messages.js';
import type { Member, MemberState } from './Types.js';

/** Maximum number of ended members to keep. */
const MAXIMUM_ENDED_MEMBERS = 1_024;

/** Initial fields of a member about which no update has been received. */
const INITIAL_STATE = {
  generation: 0,
  suspected: false,
  announcedLeaving: false,
  revision: 0,
  dropped: false,
};

/** The table's record of a member. */
export interface MemberRecord {
  readonly name: string;
  /** Empty until the process is known. */
  readonly incarnation: string;
  readonly generation: number;
  readonly address: string;
  readonly failureDomain: string;
  readonly suspected: boolean;
  /** Whether the member itself has announced its end. */
  readonly announcedLeaving: boolean;
  readonly revision: number;
  /** Whether the list has dropped the VM since the last message from the process. */
  readonly dropped: boolean;
  /** The incarnation known when the list dropped the VM. It and all earlier ones have ended. */
  readonly endedIncarnation?: string;
  /** When this process last received a message from the member. */
  readonly lastContactAt?: clock.Milliseconds;
  /** Start of the period in which all probes of the member have failed. */
  readonly unreachableSince?: clock.Milliseconds;
}

/** Dependencies and settings of the table. */
export interface MemberTableOptions {
  readonly self: wire.PeerIdentity;
  readonly clock: clock.Clock;
  /** How long a member must be unreachable before it is suspected. */
  readonly suspicionMs: clock.Milliseconds;
  /** How long a VM that was never listed must be absent from the list to prove its end. */
  readonly absenceMs: clock.Milliseconds;
}

/**
 * The known members. Resolves conflicting updates about them.
 *
 * The processes of a VM are ordered by their incarnations, which begin with the time of day of
 * their start. If the clock of the VM was set back, a process learns from its peers that they know
 * a later incarnation under its name. That incarnation cannot belong to a later process, because a
 * VM runs one process at a time. The current process therefore takes the next generation, which
 * takes precedence over the incarnation in that order.
 */
export class MemberTable {
  public readonly changes = new lifetime.Emitter<Member>();

  private readonly records = new Map<string, MemberRecord>();

  private readonly history = new vmListHistory.VmListHistory();

  private cachedMembers: readonly Member[] | undefined;

  public constructor(private readonly options: MemberTableOptions) {
    const { self } = options;
    this.records.set(self.name, { ...self, ...INITIAL_STATE });
  }

  /** Returns this process's own record as an update. */
  public selfUpdate(): MemberUpdate {
    return toUpdate(this.records.get(this.options.self.name)!);
  }

  /** Returns updates for all other members that have a known process and are not dropped. */
  public knownUpdates(): readonly MemberUpdate[] {
    return this.others()
      .filter((record) => record.incarnation !== '' && !record.dropped)
      .map(toUpdate);
  }

  /** Returns all records except this process's own. */
  public others(): readonly MemberRecord[] {
    return [...this.records.values()].filter((record) => record.name !== this.options.self.name);
  }

  public record(name: string): MemberRecord | undefined {
    return this.records.get(name);
  }

  /** Returns all members, ordered by name. The list is cached until something changes. */
  public members(): readonly Member[] {
    this.cachedMembers ??= [...this.records.values()]
      .map((record) => this.toMember(record))
      .sort((left, right) => (left.name < right.name ? -1 : 1));
    return this.cachedMembers;
  }

  public find(name: string): Member | undefined {
    const record = this.records.get(name);
    return record && this.toMember(record);
  }

  /** Returns the member's address in the list, if it differs from the announced one. */
  public alternativeAddress(record: MemberRecord): string | undefined {
    const listed = this.history.listing(record.name)?.address;
    return listed === record.address ? undefined : listed;
  }

  /** Records that this process has announced its own end. */
  public markSelfLeaving(): void {
    const self = this.records.get(this.options.self.name)!;
    this.store({ ...self, announcedLeaving: true, revision: self.revision + 1 });
  }

  /** Applies an update that a member sent about itself, which shows that it is reachable. */
  public applyContact(update: MemberUpdate): void {
    if (update.name === this.options.self.name) return;
    const known = this.records.get(update.name);
    if (known && compareProcesses(known, update) > 0) return;
    // A member that does not know yet that it is suspected repeats its old revision.
    const isOlder = known?.incarnation === update.incarnation && known.revision > update.revision;
    const latest = isOlder ? toUpdate(known) : update;
    this.history.restartAbsence(update.name);
    this.store({
      ...fromUpdate(latest),
      suspected: false,
      lastContactAt: this.options.clock.now(),
    });
  }

  /** Applies an update that one member sent about another. Returns whether it was new. */
  public applyReport(update: MemberUpdate): boolean {
    if (update.name === this.options.self.name) return this.refute(update);
    const known = this.records.get(update.name);
    if (known && !isNewer(update, known)) return false;
    const isSameProcess = known?.incarnation === update.incarnation;
    // Recent direct contact takes precedence over a suspicion reported by others.
    if (isSameProcess && update.suspected && this.hadRecentContact(known)) return false;
    if (isSameProcess) this.store({ ...known, ...fromUpdate(update), dropped: known.dropped });
    else this.store(fromUpdate(update));
    return true;
  }

  /** Applies a successful read of the platform's list. */
  public applyList(vms: readonly platformClient.ListedVm[]): void {
    const before = this.members();
    const dropped = this.history.apply(vms, this.options.clock.now());
    this.cachedMembers = undefined;
    vms.filter((vm) => !this.records.has(vm.name)).forEach((vm) => this.addListed(vm));
    vms.forEach((vm) => this.update(vm.name, { dropped: false }, true));
    vms.forEach((vm) => this.applyListed(vm));
    dropped.forEach((vm) => this.update(vm.name, this.endChange(vm.name)));
    before.forEach((member) => this.fireIfChanged(member));
    this.evictEnded();
  }

  /**
   * Records that neither this process nor other members reached the member. Returns whether the
   * member is suspected.
   */
  public recordUnreachable(name: string, incarnation: string): boolean {
    const known = this.records.get(name);
    if (known?.incarnation !== incarnation) return false;
    const now = this.options.clock.now();
    const unreachableSince = known.unreachableSince ?? now;
    const suspected = known.suspected || now - unreachableSince >= this.options.suspicionMs;
    this.store({ ...known, unreachableSince, suspected });
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

  private endChange(name: string): Partial<MemberRecord> {
    const endedIncarnation = this.records.get(name)?.incarnation ?? '';
    return endedIncarnation === '' ? { dropped: true } : { dropped: true, endedIncarnation };
  }

  private hadRecentContact(record: MemberRecord): boolean {
    if (record.lastContactAt === undefined || record.unreachableSince !== undefined) return false;
    return this.options.clock.now() - record.lastContactAt < this.options.suspicionMs;
  }

  private refute(update: MemberUpdate): boolean {
    const self = this.records.get(this.options.self.name)!;
    if (compareProcesses(update, self) > 0) {
      this.store({ ...self, generation: update.generation + 1 });
      return true;
    }
    if (update.incarnation !== self.incarnation || update.revision < self.revision) return false;
    if (!update.suspected && update.leaving === self.announcedLeaving) return false;
    this.store({ ...self, revision: update.revision + 1 });
    return true;
  }

  private addListed(vm: platformClient.ListedVm): void {
    const { name, address, failureDomain } = vm;
    this.store({ name, address, failureDomain, incarnation: '', ...INITIAL_STATE });
  }

  /**
   * Applies the incarnation in a list entry, which makes a process known before its first message.
   * A process writes its own incarnation into the list, so that process has started.
   */
  private applyListed({
    address,
    failureDomain,
    incarnation,
    leaving,
    name,
  }: platformClient.ListedVm): void {
    if (incarnation === undefined) return;
    const generation = this.records.get(name)?.generation ?? 0;
    const initial = { suspected: false, leaving, revision: 0 };
    this.applyReport({ name, incarnation, generation, address, failureDomain, ...initial });
  }

  private update(name: string, change: Partial<MemberRecord>, isListed = false): void {
    const known = this.records.get(name);
    if (!known || known.name === this.options.self.name) return;
    // Until the process is known, the list is the only source of its address.
    const address = isListed && known.incarnation === '' ? this.history.listing(name)?.address : '';
    this.records.set(name, { ...known, ...change, ...(address ? { address } : {}) });
    this.cachedMembers = undefined;
  }

  private store(record: MemberRecord): void {
    const before = this.find(record.name);
    this.records.set(record.name, record);
    // The member list is read for each request. Most messages change nothing, so it stays cached.
    if (before === undefined || !isSameMember(before, this.toMember(record))) {
      this.cachedMembers = undefined;
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

  private evictEnded(): void {
    const ended = this.others().filter((record) => record.dropped);
    ended
      .slice(0, Math.max(0, ended.length - MAXIMUM_ENDED_MEMBERS))
      .forEach((record) => this.records.delete(record.name));
    if (ended.length > MAXIMUM_ENDED_MEMBERS) this.cachedMembers = undefined;
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

function isNewer(update: MemberUpdate, known: MemberRecord): boolean {
  const order = compareProcesses(update, known);
  if (order !== 0) return order > 0;
  if (update.revision !== known.revision) return update.revision > known.revision;
  return update.suspected && !known.suspected;
}

type ProcessOrder = Pick<MemberRecord, 'generation' | 'incarnation'>;

/** Returns a number above 0 if the left process of a VM is the later one. */
function compareProcesses(left: ProcessOrder, right: ProcessOrder): number {
  if (left.generation !== right.generation) return left.generation - right.generation;
  if (left.incarnation === right.incarnation) return 0;
  return left.incarnation > right.incarnation ? 1 : -1;
}

function toUpdate(record: MemberRecord): MemberUpdate {
  const { announcedLeaving: leaving, name, incarnation, generation } = record;
  const { address, failureDomain, suspected, revision } = record;
  return { name, incarnation, generation, address, failureDomain, suspected, leaving, revision };
}

function fromUpdate(update: MemberUpdate): MemberRecord {
  const { leaving, ...rest } = update;
  return { ...rest, announcedLeaving: leaving, dropped: false };
}
