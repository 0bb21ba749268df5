import type * as clock from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import type { EngineHolding, TargetClient } from './Types.js';
import * as targetFailures from './TargetFailures.js';

const FIRST_PAUSE_MS = 250;
const MAXIMUM_PAUSE_MS = 10_000;

/** Jitter shortens a pause to no less than this share of its duration. */
const MINIMUM_PAUSE_SHARE = 0.5;

/** How long memory must have been orphaned, in milliseconds, before a sweep releases it. */
const MINIMUM_ORPHAN_AGE_MS = 10_000;

/** Dependencies of the releaser. */
export interface MemoryReleaserOptions {
  readonly client: Pick<TargetClient, 'holdings' | 'release'>;
  /** Returns the names of the engines whose memory is swept. */
  readonly engines: () => readonly string[];
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  /** Returns a number between 0 and 1, for jitter. */
  readonly random: () => number;
}

/** Memory that an engine holds for a program. */
export interface HeldMemory {
  readonly target: string;
  readonly program: string;
}

/** Predicates by which a sweep identifies orphaned memory: that of programs that are not live. */
export interface SweepPredicates {
  /** Whether a program is open or runs a call. */
  readonly isLive: (program: string) => boolean;
  /** Whether this process owns the program's shard; only then `isLive` is authoritative. */
  readonly isOwnedHere: (program: string) => boolean;
}

/** Releases the memory that engines hold for programs, with retries until acknowledged. */
export class MemoryReleaser implements lifetime.Disposable {
  /** Programs to release, by target. Each target with an entry has a running `drain`. */
  private readonly pending = new Map<string, Set<string>>();

  /** Time at which a sweep first found the memory orphaned, by target and program. */
  private orphans = new Map<string, ReadonlyMap<string, clock.Milliseconds>>();

  private readonly stop = new AbortController();

  private readonly releasedEmitter = new lifetime.Emitter<HeldMemory>();

  /** Fires when an engine has acknowledged a release. */
  public readonly onReleased = this.releasedEmitter.event;

  public constructor(private readonly options: MemoryReleaserOptions) {}

  /** Starts releasing a program's memory on a target. */
  public release(target: string, program: string): void {
    const programs = this.pending.get(target);
    if (programs) {
      programs.add(program);
      return;
    }
    this.pending.set(target, new Set([program]));
    this.drain(target).catch((error: unknown) => {
      this.options.logger.error('The release of memory failed.', { target, reason: String(error) });
    });
  }

  /** Cancels a release, for example if the program runs on the target again. */
  public cancelRelease(target: string, program: string): void {
    this.pending.get(target)?.delete(program);
  }

  /** Returns the releases that have not been acknowledged yet. */
  public unacknowledged(): readonly HeldMemory[] {
    return [...this.pending].flatMap(([target, programs]) =>
      [...programs].map((program) => ({ target, program })),
    );
  }

  /** Releases the memory on engines that has been orphaned for some time. Call it regularly. */
  public async sweep(predicates: SweepPredicates): Promise<void> {
    const engines = this.options.engines();
    const seen = await Promise.all(
      engines.map(async (target) => [target, await this.sweepEngine(target, predicates)] as const),
    );
    this.orphans = new Map(seen);
  }

  /** @inheritdoc */
  public dispose(): void {
    this.stop.abort();
    this.releasedEmitter.dispose();
  }

  private async sweepEngine(
    target: string,
    predicates: SweepPredicates,
  ): Promise<ReadonlyMap<string, clock.Milliseconds>> {
    const before = this.orphans.get(target) ?? new Map<string, clock.Milliseconds>();
    const holdings = await this.options.client.holdings(target);
    if (holdings.isErr) return before;
    const now = this.options.clock.now();
    const orphans = new Map(
      orphansOf(holdings.value, predicates).map((program) => [program, before.get(program) ?? now]),
    );
    orphans.forEach((since, program) => {
      if (now - since >= MINIMUM_ORPHAN_AGE_MS) this.release(target, program);
    });
    return orphans;
  }

  private async drain(target: string): Promise<void> {
    const programs = this.pending.get(target) ?? new Set<string>();
    let pauseMs = FIRST_PAUSE_MS;
    while (programs.size > 0 && !this.stop.signal.aborted) {
      const isDone = await this.releaseAll(target, programs);
      if (isDone) {
        pauseMs = FIRST_PAUSE_MS;
        continue;
      }
      const jitter = MINIMUM_PAUSE_SHARE + (1 - MINIMUM_PAUSE_SHARE) * this.options.random();
      await this.options.clock.sleep(pauseMs * jitter, this.stop.signal);
      pauseMs = Math.min(MAXIMUM_PAUSE_MS, pauseMs * 2);
    }
    this.pending.delete(target);
  }

  /** Releases the programs one by one. Returns false if some must be retried. */
  private async releaseAll(target: string, programs: Set<string>): Promise<boolean> {
    let isDone = true;
    for (const program of [...programs]) {
      if (this.stop.signal.aborted) return false;
      // The release may have been cancelled while other programs were released.
      if (!programs.has(program)) continue;
      const result = await this.options.client.release(target, program);
      // The releases of other programs must not wait for one that the engine refuses.
      const isRefused =
        result.isErr && result.error.kind === targetFailures.TARGET_FAILURES.REFUSED;
      if (result.isErr) isDone = false;
      if (result.isErr && !isRefused) return false;
      if (result.isOk && programs.delete(program)) this.releasedEmitter.fire({ target, program });
    }
    return isDone;
  }
}

function orphansOf(
  holdings: readonly EngineHolding[],
  predicates: SweepPredicates,
): readonly string[] {
  return holdings
    .map((holding) => holding.program)
    .filter((program) => predicates.isOwnedHere(program) && !predicates.isLive(program));
}
