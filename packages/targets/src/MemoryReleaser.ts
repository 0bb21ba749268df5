import type * as clock from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import type { EngineHolding, TargetClient } from './Types.js';
import * as targetFailures from './TargetFailures.js';

const FIRST_PAUSE_MS = 250;
const LONGEST_PAUSE_MS = 10_000;

/** A pause lasts between this share of its span and the whole span. */
const JITTER_FLOOR = 0.5;

/** How long an engine must hold memory for an unknown program before it is released. */
const LEAST_ORPHAN_MS = 10_000;

/** What the releaser needs. */
export interface MemoryReleaserOptions {
  readonly client: Pick<TargetClient, 'holdings' | 'release'>;
  /** Names of the engines whose memory is swept. */
  readonly engines: () => readonly string[];
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  /** Between 0 and 1, for jitter. */
  readonly random: () => number;
}

/** Memory that an engine holds for a program. */
export interface HeldMemory {
  readonly target: string;
  readonly program: string;
}

/** What a sweep asks about programs. */
export interface SweepQuestions {
  /** Whether a program goes on, or runs a call. */
  readonly isLive: (program: string) => boolean;
  /** Whether this process owns the program's shard, so that its answer counts. */
  readonly isOwnedHere: (program: string) => boolean;
}

/** Releases what engines hold for programs, and tries again until each engine acknowledges. */
export class MemoryReleaser implements lifetime.Disposable {
  /** Programs to release, by target; a target with an entry has a task. */
  private readonly pending = new Map<string, Set<string>>();

  /** When a sweep first saw an orphan, by target and program. */
  private orphans = new Map<string, ReadonlyMap<string, clock.Milliseconds>>();

  private readonly stop = new AbortController();

  private readonly released = new lifetime.Emitter<HeldMemory>();

  /** Fires when an engine has acknowledged a release. */
  public readonly onReleased = this.released.event;

  public constructor(private readonly options: MemoryReleaserOptions) {}

  /** Starts to release a program's memory on a target. */
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

  /** Gives up a release, such as when the program has come back to the target. */
  public keep(target: string, program: string): void {
    this.pending.get(target)?.delete(program);
  }

  /** What has not been acknowledged yet. */
  public unacknowledged(): readonly HeldMemory[] {
    return [...this.pending].flatMap(([target, programs]) =>
      [...programs].map((program) => ({ target, program })),
    );
  }

  /** Compares what the engines hold with the live programs and releases what is left over. */
  public async sweep(questions: SweepQuestions): Promise<void> {
    const engines = this.options.engines();
    const seen = await Promise.all(
      engines.map(async (target) => [target, await this.sweepEngine(target, questions)] as const),
    );
    this.orphans = new Map(seen);
  }

  /** @inheritdoc */
  public dispose(): void {
    this.stop.abort();
    this.released.dispose();
  }

  private async sweepEngine(
    target: string,
    questions: SweepQuestions,
  ): Promise<ReadonlyMap<string, clock.Milliseconds>> {
    const before = this.orphans.get(target) ?? new Map<string, clock.Milliseconds>();
    const holdings = await this.options.client.holdings(target);
    if (holdings.isErr) return before;
    const now = this.options.clock.now();
    const orphans = new Map(
      orphansOf(holdings.value, questions).map((program) => [program, before.get(program) ?? now]),
    );
    orphans.forEach((since, program) => {
      if (now - since >= LEAST_ORPHAN_MS) this.release(target, program);
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
      const jitter = JITTER_FLOOR + (1 - JITTER_FLOOR) * this.options.random();
      await this.options.clock.sleep(pauseMs * jitter, this.stop.signal);
      pauseMs = Math.min(LONGEST_PAUSE_MS, pauseMs * 2);
    }
    this.pending.delete(target);
  }

  /** Releases one program after the other; false when some are left to be tried again. */
  private async releaseAll(target: string, programs: Set<string>): Promise<boolean> {
    let isDone = true;
    for (const program of [...programs]) {
      if (this.stop.signal.aborted) return false;
      // The program may have come back while the others were released.
      if (!programs.has(program)) continue;
      const result = await this.options.client.release(target, program);
      // One program that the engine refuses to release must not hold up the others.
      const isRefused =
        result.isErr && result.error.kind === targetFailures.TARGET_FAILURES.REFUSED;
      if (result.isErr) isDone = false;
      if (result.isErr && !isRefused) return false;
      if (result.isOk && programs.delete(program)) this.released.fire({ target, program });
    }
    return isDone;
  }
}

function orphansOf(
  holdings: readonly EngineHolding[],
  questions: SweepQuestions,
): readonly string[] {
  return holdings
    .map((holding) => holding.program)
    .filter((program) => questions.isOwnedHere(program) && !questions.isLive(program));
}
