import type * as clock from '@limpettack/clock';
import type { WorkspaceTotal, WorkspaceUsage } from './Types.js';

/** Half-life of attained service. */
const HALF_LIFE_MS = 30_000;

/** Totals below this value are removed, in slot seconds. */
const MINIMUM_SECONDS = 0.001;

interface Total {
  readonly seconds: number;
  readonly at: clock.Milliseconds;
}

/**
 * Decayed attained service of each workspace: its total on this process and the totals that peers
 * last reported.
 */
export class UsageLedger implements WorkspaceUsage {
  private readonly ownTotalsByWorkspace = new Map<string, Total>();

  private readonly peers = new Map<string, ReadonlyMap<string, Total>>();

  public constructor(private readonly time: clock.Clock) {}

  /**
   * Adds service, in slot seconds, to the workspace's total on this process. A negative amount
   * reduces the total, but not below 0.
   */
  public add(workspace: string, seconds: number): void {
    const total = this.decayed(this.ownTotalsByWorkspace.get(workspace)) + seconds;
    this.ownTotalsByWorkspace.set(workspace, { seconds: Math.max(0, total), at: this.time.now() });
  }

  /** The decayed totals of this process. */
  public ownTotals(): readonly WorkspaceTotal[] {
    [...this.ownTotalsByWorkspace].forEach(([workspace, total]) => {
      if (this.decayed(total) < MINIMUM_SECONDS) this.ownTotalsByWorkspace.delete(workspace);
    });
    return [...this.ownTotalsByWorkspace].map(([workspace, total]) => ({
      workspace,
      seconds: this.decayed(total),
    }));
  }

  /** Replaces the totals of a peer. The new totals start to decay now. */
  public replacePeerTotals(peer: string, totals: readonly WorkspaceTotal[]): void {
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
    return fromPeers.reduce(
      (sum, seconds) => sum + seconds,
      this.decayed(this.ownTotalsByWorkspace.get(workspace)),
    );
  }

  private decayed(total: Total | undefined): number {
    if (!total) return 0;
    return total.seconds * 0.5 ** ((this.time.now() - total.at) / HALF_LIFE_MS);
  }
}
