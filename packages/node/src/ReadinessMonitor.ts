import type * as clockTypes from '@limpettack/clock';
import type * as configuration from '@limpettack/configuration';
import * as lifetime from '@limpettack/lifetime';
import type * as membership from '@limpettack/membership';

/** Time without the log and without most peers after which a VM is isolated, in milliseconds. */
const ISOLATED_AFTER_MS = 3_000;

/** Interval between two checks of the connections, in milliseconds. */
const CHECK_INTERVAL_MS = 250;

/** Reports whether the log can be reached. */
export interface LogAvailability {
  isLogAvailable(): boolean;
}

/**
 * Determines whether this VM may serve callers. A VM that reaches neither the log nor most of its
 * peers is isolated; one that reaches its peers is in an outage of the log that affects all VMs,
 * and stays ready.
 */
export class ReadinessMonitor implements lifetime.Disposable {
  private readonly controller = new AbortController();

  private lastReachedAt: clockTypes.Milliseconds;

  public constructor(
    private readonly log: LogAvailability,
    private readonly members: Pick<membership.Membership, 'members' | 'available'>,
    private readonly configurationView: Pick<configuration.ConfigurationView, 'isReady'>,
    private readonly clock: clockTypes.Clock,
  ) {
    this.lastReachedAt = clock.now();
    this.watch();
  }

  /** Whether the VM may serve callers. */
  public isReady(): boolean {
    return this.configurationView.isReady() && !this.isIsolated();
  }

  /** Whether neither the log nor most of the peers could be reached for `ISOLATED_AFTER_MS`. */
  public isIsolated(): boolean {
    return this.clock.now() - this.lastReachedAt > ISOLATED_AFTER_MS;
  }

  /** @inheritdoc */
  public dispose(): void {
    this.controller.abort();
  }

  private async watch(): Promise<void> {
    while (!this.controller.signal.aborted) {
      if (this.isConnected()) this.lastReachedAt = this.clock.now();
      await this.clock.sleep(CHECK_INTERVAL_MS, this.controller.signal);
    }
  }

  private isConnected(): boolean {
    if (this.log.isLogAvailable()) return true;
    const known = this.members.members().filter((member) => member.state !== 'gone').length;
    // This VM is one of the available members itself, so half of the known ones is no majority.
    return this.members.available().length * 2 > known;
  }
}
