import type * as lifetime from '@limpettack/lifetime';
import type * as wire from '@limpettack/wire';
import type * as memberStates from './MemberStates.js';

/** The state of a member. */
export type MemberState =
  (typeof memberStates.MEMBER_STATES)[keyof typeof memberStates.MEMBER_STATES];

/** A VM process, as seen by this process. */
export interface Member extends wire.PeerIdentity {
  readonly state: MemberState;
  /** Whether the platform's list contains the VM. */
  readonly listed: boolean;
  /** Whether the VM or the platform has announced that the VM is shutting down. */
  readonly leaving: boolean;
}

/** The known VMs. A suspicion is a hint and never proves that a process has ended. */
export interface Membership extends lifetime.Disposable {
  readonly self: wire.PeerIdentity;
  /** All known members, this one included, ordered by name. */
  members(): readonly Member[];
  /** Members with a known process that are not suspected, gone or leaving, this one included. */
  available(): readonly Member[];
  find(name: string): Member | undefined;
  /** Fires when a member's state, incarnation or leaving flag changes. */
  readonly onChange: lifetime.Event<Member>;
  /** Returns whether neither this VM nor two others can currently reach the member. */
  confirmUnreachable(name: string): Promise<boolean>;
  /**
   * Returns whether a process is proved to have ended. Proof is that a later incarnation of its VM
   * is known, or that the platform's list dropped the VM or has not contained it for a long time.
   */
  hasEnded(name: string, incarnation: string): boolean;
  /** Announces to the peers that this process is about to end. */
  announceLeaving(): Promise<void>;
}
