import * as lifetime from '@limpettack/lifetime';
import * as membership from '@limpettack/membership';
import type * as wire from '@limpettack/wire';

/** A membership that the test controls and all processes share. */
export class ManualMembers {
  public readonly members = new Map<string, membership.Member>();

  public readonly changes = new lifetime.Emitter<membership.Member>();

  /** Changes a member in the view of all processes. */
  public set(name: string, change: Partial<membership.Member>): void {
    const member = this.members.get(name);
    if (member === undefined) return;
    const changed = { ...member, ...change };
    this.members.set(name, changed);
    this.changes.fire(changed);
  }

  /** Adds a process and returns its view of the membership. */
  public connect(self: wire.PeerIdentity): membership.Membership {
    const { AVAILABLE, GONE } = membership.MEMBER_STATES;
    this.members.set(self.name, { ...self, state: AVAILABLE, listed: true, leaving: false });
    const all = () => [...this.members.values()].sort((a, b) => (a.name < b.name ? -1 : 1));
    const find = (name: string) => this.members.get(name);
    return {
      self,
      members: all,
      available: () => all().filter((member) => member.state === AVAILABLE && !member.leaving),
      find,
      onChange: this.changes.event,
      confirmUnreachable: async (name) => find(name)?.state !== AVAILABLE,
      hasEnded: (name, incarnation) => {
        const member = find(name);
        if (member === undefined) return false;
        return member.state === GONE || member.incarnation !== incarnation;
      },
      announceLeaving: async () => this.set(self.name, { leaving: true }),
      dispose: () => undefined,
    };
  }
}
