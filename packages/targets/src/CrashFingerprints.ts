import type * as clock from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';

/** Different targets that must have died for a request to be quarantined. */
const DEATHS_TO_QUARANTINE = 2;

/** Deaths that are remembered, and for how long. */
const MAXIMUM_SUSPECTS = 10_000;
const SUSPICION_MS = 3_600_000;

/** A target that died while it ran a request. */
export interface TargetDeath {
  /** Digest of the workspace and the request's content. */
  readonly fingerprint: string;
  readonly target: string;
  /** When the call was sent, on this process's clock. */
  readonly sentAt: clock.Milliseconds;
}

interface Suspicion {
  readonly targets: ReadonlySet<string>;
  readonly lastDeathAt: clock.Milliseconds;
}

/** Finds the requests that crash the targets that run them. */
export class CrashFingerprints implements lifetime.Disposable {
  private readonly suspicions = new Map<string, Suspicion>();

  private readonly quarantined = new Set<string>();

  private readonly quarantine = new lifetime.Emitter<string>();

  /** Fires with a fingerprint that is quarantined by what this process saw. */
  public readonly onQuarantine = this.quarantine.event;

  /** @param deathsToQuarantine Different targets that must have died for a quarantine. */
  public constructor(
    private readonly time: clock.Clock,
    private readonly deathsToQuarantine = DEATHS_TO_QUARANTINE,
  ) {}

  /** Whether any request is refused. */
  public get hasQuarantined(): boolean {
    return this.quarantined.size > 0;
  }

  /** Whether any request is suspected. */
  public get hasSuspects(): boolean {
    return this.suspicions.size > 0;
  }

  /** Whether a request is refused. */
  public isQuarantined(fingerprint: string): boolean {
    return this.quarantined.has(fingerprint);
  }

  /** Whether a target has died while it ran the request. */
  public isSuspect(fingerprint: string): boolean {
    return this.suspicions.has(fingerprint);
  }

  /** Counts a death; true when the request is quarantined now. */
  public noteDeath(death: TargetDeath): boolean {
    const { fingerprint, sentAt, target } = death;
    if (this.isQuarantined(fingerprint)) return true;
    const now = this.time.now();
    const earlier = this.earlier(fingerprint, now);
    // Equal requests that ran beside each other may have been hit by one and the same fault, such
    // as a lost failure domain. Only a death after the first one is another piece of evidence.
    if (earlier && sentAt < earlier.lastDeathAt) return false;
    const targets = new Set([...(earlier?.targets ?? []), target]);
    if (targets.size >= this.deathsToQuarantine) {
      this.learn(fingerprint);
      this.quarantine.fire(fingerprint);
      return true;
    }
    this.remember(fingerprint, { targets, lastDeathAt: now });
    return false;
  }

  /** Notes that a target ran the request to its end, so that the request did not kill the other. */
  public noteCompleted(fingerprint: string): void {
    this.suspicions.delete(fingerprint);
  }

  /** Takes over what a peer or the journal says is quarantined. */
  public learn(fingerprint: string): void {
    this.suspicions.delete(fingerprint);
    this.quarantined.add(fingerprint);
  }

  /** @inheritdoc */
  public dispose(): void {
    this.quarantine.dispose();
  }

  private earlier(fingerprint: string, now: clock.Milliseconds): Suspicion | undefined {
    const suspicion = this.suspicions.get(fingerprint);
    return suspicion && now - suspicion.lastDeathAt < SUSPICION_MS ? suspicion : undefined;
  }

  private remember(fingerprint: string, suspicion: Suspicion): void {
    this.suspicions.delete(fingerprint);
    this.suspicions.set(fingerprint, suspicion);
    const [oldest] = this.suspicions.keys();
    if (this.suspicions.size > MAXIMUM_SUSPECTS && oldest !== undefined) {
      this.suspicions.delete(oldest);
    }
  }
}
