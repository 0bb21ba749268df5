import type * as clockTypes from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';
import type * as programs from '@limpettack/programs';
import type * as targets from '@limpettack/targets';

/** Interval between two sweeps of the memory that engines hold, in milliseconds. */
const SWEEP_INTERVAL_MS = 5_000;

/** Releases engine memory on request of homes, and sweeps memory that no home has released. */
export class EngineMemory implements programs.MemoryRelease, lifetime.Disposable {
  private readonly controller = new AbortController();

  public constructor(
    private readonly releaser: targets.MemoryReleaser,
    private readonly lookup: targets.TargetLookup,
    private readonly clock: clockTypes.Clock,
  ) {}

  /** @inheritdoc */
  public release(target: string, program: string): Promise<void> {
    // A target that is in no pool of the configuration cannot be reached any more.
    if (this.lookup.target(target) === undefined) return Promise.resolve();
    return new Promise((resolve) => {
      const subscription = this.releaser.onReleased((released) => {
        if (released.target !== target || released.program !== program) return;
        subscription.dispose();
        resolve();
      });
      this.releaser.release(target, program);
    });
  }

  /** Sweeps all engines at a fixed interval until disposal. */
  public async sweep(predicates: targets.SweepPredicates): Promise<void> {
    while (!this.controller.signal.aborted) {
      await this.clock.sleep(SWEEP_INTERVAL_MS, this.controller.signal);
      if (!this.controller.signal.aborted) await this.releaser.sweep(predicates);
    }
  }

  /** @inheritdoc */
  public dispose(): void {
    this.controller.abort();
  }
}
