import type * as clockTypes from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';
import type * as programs from '@limpettack/programs';
import type * as targets from '@limpettack/targets';

/** How often engines are asked what they hold, in milliseconds. */
const SWEEP_INTERVAL_MS = 5_000;

/** Releases engine memory by the wish of homes, and sweeps what no home asked for. */
export class EngineMemory implements programs.MemoryRelease, lifetime.Disposable {
  private readonly controller = new AbortController();

  public constructor(
    private readonly releaser: targets.MemoryReleaser,
    private readonly lookup: targets.TargetLookup,
    private readonly clock: clockTypes.Clock,
  ) {}

  /** @inheritdoc */
  public release(target: string, program: string): Promise<void> {
    // A target that no table has named is out of reach for good.
    if (this.lookup.target(target) === undefined) return Promise.resolve();
    return new Promise((resolve) => {
      const watch = this.releaser.onReleased((released) => {
        if (released.target !== target || released.program !== program) return;
        watch.dispose();
        resolve();
      });
      this.releaser.release(target, program);
    });
  }

  /** Sweeps all engines from time to time. */
  public async sweep(questions: targets.SweepQuestions): Promise<void> {
    while (!this.controller.signal.aborted) {
      await this.clock.sleep(SWEEP_INTERVAL_MS, this.controller.signal);
      if (!this.controller.signal.aborted) await this.releaser.sweep(questions);
    }
  }

  /** @inheritdoc */
  public dispose(): void {
    this.controller.abort();
  }
}
