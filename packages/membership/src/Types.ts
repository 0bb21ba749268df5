import type * as lifetime from '@limpettack/lifetime';
import type * as wire from '@limpettack/wire';
import type * as memberStates from './MemberStates.js';

/** The name of a member's state. */
export type MemberState =
  (typeof memberStates.MEMBER_STATES)[keyof typeof memberStates.MEMBER_STATES];

/** A VM process as this one sees it. */
export interface Member extends wire.PeerIdentity {
  readonly state: MemberState;
  /** Whether the platform's list has the VM. */
  readonly listed: boolean;
  /** Whether the VM has announced its end, or the platform has. */
  readonly leaving: boolean;
}

/** Which VMs there are. Suspicion is a hint; it is never proof that a process has ended. */
export interface Membership extends lifetime.Disposable {
  readonly self: wire.PeerIdentity;
  /** All known members, this one included, ordered by name. */
  members(): readonly Member[];
  /** Members that are neither suspected nor gone nor leaving, this one included. */
  available(): readonly Member[];
  find(name: string): Member | undefined;
  /** Fires when a member's state, incarnation or leaving flag has changed. */
  readonly onChange: lifetime.Event<Member>;
  /** Tells whether neither this VM nor two others can reach the member just now. */
  confirmUnreachable(name: string): Promise<boolean>;
  /**
   * Proof that a process has ended: its VM has been dropped by the platform's list, or a later
   * incarnation of the VM has been met.
   */
  hasEnded(name: string, incarnation: string): boolean;
  /** Tells the peers that this process is about to end. */
  announceLeaving(): Promise<void>;
}
