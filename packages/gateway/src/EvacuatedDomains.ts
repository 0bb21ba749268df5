import type * as clock from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';

/** Maximum length of the name of a failure domain. The settings file accepts no longer names. */
const MAXIMUM_NAME_CHARACTERS = 100;

/** Bounds the memory for records that name no existing failure domain. */
const MAXIMUM_DOMAINS = 256;

/** Dependencies of `EvacuatedDomains`. */
export interface EvacuatedDomainsOptions {
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  /** The failure domains that the settings name; undefined if they name none. */
  readonly knownDomains: Pick<ReadonlySet<string>, 'has'> | undefined;
}

/** The end of an evacuation. */
export interface Revocation {
  readonly failureDomain: string;
  /** When this process learned of it, on its own clock. */
  readonly revokedAt: clock.Milliseconds;
}

/**
 * The failure domains that operators have evacuated. Addresses the load pattern of a failing
 * domain: requests that are retried, hedged or resumed would otherwise keep returning to it.
 */
export class EvacuatedDomains implements lifetime.Disposable {
  /** When this process learned of each evacuation. */
  private readonly domains = new Map<string, clock.Milliseconds>();

  private readonly revocations = new Map<string, clock.Milliseconds>();

  private readonly revokedEmitter = new lifetime.Emitter<Revocation>();

  /** Fires when the evacuation of a failure domain is revoked. */
  public readonly onRevoked = this.revokedEmitter.event;

  public constructor(private readonly options: EvacuatedDomainsOptions) {}

  /** Number of evacuated failure domains. */
  public get count(): number {
    return this.domains.size;
  }

  public has(failureDomain: string): boolean {
    return this.domains.has(failureDomain);
  }

  /**
   * When the latest evacuation of a failure domain was revoked. Undefined if this process has seen
   * no revocation.
   */
  public revokedAt(failureDomain: string): clock.Milliseconds | undefined {
    return this.revocations.get(failureDomain);
  }

  /** Replaces all evacuated failure domains. */
  public reset(failureDomains: readonly string[]): void {
    const listed = new Set(failureDomains);
    [...this.domains.keys()]
      .filter((name) => !listed.has(name))
      .forEach((name) => this.revoke(name));
    listed.forEach((name) => this.evacuate(name));
  }

  /** Adds a failure domain. A name that cannot be used is logged and ignored. */
  public evacuate(failureDomain: string): void {
    if (this.domains.has(failureDomain)) return;
    const { clock: time, knownDomains, logger } = this.options;
    const unusable = this.findFault(failureDomain);
    if (unusable !== undefined) {
      const kind = failureDomain.slice(0, MAXIMUM_NAME_CHARACTERS);
      logger.warn('An evacuation is ignored.', { kind, reason: unusable });
      return;
    }
    this.domains.set(failureDomain, time.now());
    const isKnown = knownDomains?.has(failureDomain) ?? true;
    logger.info('A failure domain was evacuated.', {
      kind: failureDomain,
      count: this.count,
      ...(isKnown ? {} : { reason: 'The settings do not name this failure domain.' }),
    });
  }

  /** Removes a failure domain, if it is evacuated. */
  public revoke(failureDomain: string): void {
    const since = this.domains.get(failureDomain);
    if (since === undefined) return;
    const { clock: time, logger } = this.options;
    const revokedAt = time.now();
    this.domains.delete(failureDomain);
    this.recordRevocation({ failureDomain, revokedAt });
    logger.info('The evacuation of a failure domain was revoked.', {
      kind: failureDomain,
      count: this.count,
      spanMs: Math.round(revokedAt - since),
    });
    this.revokedEmitter.fire({ failureDomain, revokedAt });
  }

  /** @inheritdoc */
  public dispose(): void {
    this.revokedEmitter.dispose();
  }

  private findFault(failureDomain: string): string | undefined {
    if (failureDomain === '') return 'The name is empty.';
    if (failureDomain.length > MAXIMUM_NAME_CHARACTERS) return 'The name is too long.';
    return this.count < MAXIMUM_DOMAINS ? undefined : 'Too many failure domains are evacuated.';
  }

  private recordRevocation({ failureDomain, revokedAt }: Revocation): void {
    // Deleted first, so that the map stays in the order of the revocations.
    this.revocations.delete(failureDomain);
    this.revocations.set(failureDomain, revokedAt);
    const [oldest] = this.revocations.keys();
    if (this.revocations.size > MAXIMUM_DOMAINS) this.revocations.delete(oldest!);
  }
}
