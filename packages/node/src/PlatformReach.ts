import type * as clockTypes from '@limpettack/clock';
import type * as configuration from '@limpettack/configuration';
import * as lifetime from '@limpettack/lifetime';
import type * as membership from '@limpettack/membership';

/** So long without the log and without most peers makes a VM cut off. */
const CUT_OFF_AFTER_MS = 3_000;

/** How often the reach is looked at, in milliseconds. */
const LOOK_INTERVAL_MS = 250;

/** What tells whether the log is reached. */
export interface LogReach {
  isLogAvailable(): boolean;
}

/** Tells whether this VM is cut off, rather than in an outage of the log that all VMs share. */
export class PlatformReach implements lifetime.Disposable {
  private readonly controller = new AbortController();

  private reachedAt: clockTypes.Milliseconds;

  public constructor(
    private readonly log: LogReach,
    private readonly members: Pick<membership.Membership, 'members' | 'available'>,
    private readonly configurationView: Pick<configuration.ConfigurationView, 'isReady'>,
    private readonly clock: clockTypes.Clock,
  ) {
    this.reachedAt = clock.now();
    this.watch();
  }

  /** Whether the VM may serve callers. */
  public isReady(): boolean {
    return this.configurationView.isReady() && !this.isCutOff();
  }

  /** Whether neither the log nor most of the peers have been reached for a while. */
  public isCutOff(): boolean {
    return this.clock.now() - this.reachedAt > CUT_OFF_AFTER_MS;
  }

  /** @inheritdoc */
  public dispose(): void {
    this.controller.abort();
  }

  private async watch(): Promise<void> {
    while (!this.controller.signal.aborted) {
      if (this.reachesOthers()) this.reachedAt = this.clock.now();
      await this.clock.sleep(LOOK_INTERVAL_MS, this.controller.signal);
    }
  }

  private reachesOthers(): boolean {
    if (this.log.isLogAvailable()) return true;
    const known = this.members.members().filter((member) => member.state !== 'gone').length;
    // This VM is one of the available members itself, so half of the known ones is not most.
    return this.members.available().length * 2 > known;
  }
}
