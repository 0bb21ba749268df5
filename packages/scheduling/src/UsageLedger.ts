import type * as clock from '@limpettack/clock';
import type { WorkspaceTotal, WorkspaceUsage } from './Types.js';

/** Time after which attained service counts half. */
const HALF_LIFE_MS = 30_000;

/** Totals below this many slot seconds are forgotten. */
const FORGOTTEN_SECONDS = 0.001;

interface Total {
  readonly seconds: number;
  readonly at: clock.Milliseconds;
}

/** Decayed service of each workspace, here and as peers last told it. */
export class UsageLedger implements WorkspaceUsage {
  private readonly own = new Map<string, Total>();

  private readonly peers = new Map<string, ReadonlyMap<string, Total>>();

  public constructor(private readonly time: clock.Clock) {}

  /** Adds service to a workspace's own total, in slot seconds; less when negative. */
  public add(workspace: string, seconds: number): void {
    const total = this.decayed(this.own.get(workspace)) + seconds;
    this.own.set(workspace, { seconds: Math.max(0, total), at: this.time.now() });
  }

  /** The decayed totals of this process. */
  public ownTotals(): readonly WorkspaceTotal[] {
    [...this.own].forEach(([workspace, total]) => {
      if (this.decayed(total) < FORGOTTEN_SECONDS) this.own.delete(workspace);
    });
    return [...this.own].map(([workspace, total]) => ({
      workspace,
      seconds: this.decayed(total),
    }));
  }

  /** Replaces what is known of a peer. The totals decay from now on. */
  public learn(peer: string, totals: readonly WorkspaceTotal[]): void {
    const at = this.time.now();
    if (totals.length === 0) {
      this.peers.delete(peer);
      return;
    }
    this.peers.set(
      peer,
      new Map(totals.map((total) => [total.workspace, { seconds: total.seconds, at }])),
    );
  }

  /** @inheritdoc */
  public attainedSeconds(workspace: string): number {
    const fromPeers = [...this.peers.values()].map((totals) => this.decayed(totals.get(workspace)));
    return fromPeers.reduce((sum, seconds) => sum + seconds, this.decayed(this.own.get(workspace)));
  }

  private decayed(total: Total | undefined): number {
    if (!total) return 0;
    return total.seconds * 0.5 ** ((this.time.now() - total.at) / HALF_LIFE_MS);
  }
}
