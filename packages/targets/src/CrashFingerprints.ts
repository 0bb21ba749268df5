import type * as clock from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';

/** Number of different targets that must crash before a request is quarantined. */
const CRASHES_TO_QUARANTINE = 2;

/** Maximum number of suspected requests held, and how long a suspicion lasts after a crash. */
const MAXIMUM_SUSPECTS = 10_000;
const SUSPICION_TTL_MS = 3_600_000;

/** A target that crashed while running a request. */
export interface TargetCrash {
  /** Digest of the workspace and the request's content. */
  readonly fingerprint: string;
  readonly target: string;
  /** Time at which the call was sent, on this process's clock. */
  readonly sentAt: clock.Milliseconds;
}

interface Suspicion {
  readonly targets: ReadonlySet<string>;
  readonly lastCrashAt: clock.Milliseconds;
}

/** Detects requests that crash the targets that run them. */
export class CrashFingerprints implements lifetime.Disposable {
  private readonly suspicions = new Map<string, Suspicion>();

  private readonly quarantined = new Set<string>();

  private readonly quarantineEmitter = new lifetime.Emitter<string>();

  /** Fires with a fingerprint that is quarantined because of crashes that this process observed. */
  public readonly onQuarantine = this.quarantineEmitter.event;

  /** @param crashesToQuarantine Number of different targets that must crash for a quarantine. */
  public constructor(
    private readonly time: clock.Clock,
    private readonly crashesToQuarantine = CRASHES_TO_QUARANTINE,
  ) {}

  /** Whether any request is quarantined. */
  public get hasQuarantined(): boolean {
    return this.quarantined.size > 0;
  }

  /** Whether any request is a suspect. */
  public get hasSuspects(): boolean {
    return this.suspicions.size > 0;
  }

  /** Whether a request is quarantined and must be refused. */
  public isQuarantined(fingerprint: string): boolean {
    return this.quarantined.has(fingerprint);
  }

  /** Whether a target has crashed while running the request. */
  public isSuspect(fingerprint: string): boolean {
    return this.suspicions.has(fingerprint);
  }

  /** Records a crash. Returns true if the request is now quarantined. */
  public noteCrash(death: TargetCrash): boolean {
    const { fingerprint, sentAt, target } = death;
    if (this.isQuarantined(fingerprint)) return true;
    const now = this.time.now();
    const recentSuspicion = this.findRecent(fingerprint, now);
    // Equal requests that ran concurrently may be affected by the same fault, such as the loss of a
    // failure domain. Only a crash of a call sent after the last crash is independent evidence.
    if (recentSuspicion && sentAt < recentSuspicion.lastCrashAt) return false;
    const targets = new Set([...(recentSuspicion?.targets ?? []), target]);
    if (targets.size >= this.crashesToQuarantine) {
      this.addQuarantined(fingerprint);
      this.quarantineEmitter.fire(fingerprint);
      return true;
    }
    this.storeSuspicion(fingerprint, { targets, lastCrashAt: now });
    return false;
  }

  /** Notes that a target completed the request, so the request did not cause the earlier crash. */
  public noteCompleted(fingerprint: string): void {
    this.suspicions.delete(fingerprint);
  }

  /** Adds a quarantined fingerprint that was read from a peer or the journal. */
  public addQuarantined(fingerprint: string): void {
    this.suspicions.delete(fingerprint);
    this.quarantined.add(fingerprint);
  }

  /** @inheritdoc */
  public dispose(): void {
    this.quarantineEmitter.dispose();
  }

  private findRecent(fingerprint: string, now: clock.Milliseconds): Suspicion | undefined {
    const suspicion = this.suspicions.get(fingerprint);
    return suspicion && now - suspicion.lastCrashAt < SUSPICION_TTL_MS ? suspicion : undefined;
  }

  private storeSuspicion(fingerprint: string, suspicion: Suspicion): void {
    this.suspicions.delete(fingerprint);
    this.suspicions.set(fingerprint, suspicion);
    const [oldest] = this.suspicions.keys();
    if (this.suspicions.size > MAXIMUM_SUSPECTS && oldest !== undefined) {
      this.suspicions.delete(oldest);
    }
  }
}
