import * as crypto from 'node:crypto';
import type * as clock from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import type * as membership from '@limpettack/membership';
import * as targets from '@limpettack/targets';
import type * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';
import type * as callContext from './CallContext.js';
import * as messages from './messages.js';
import type { Target } from './Types.js';

/** Different targets that must have died while they ran a request for it to be refused. */
const DEATHS_TO_REFUSE = 3;

/** Time for a peer to take news of a death. */
const NEWS_TIMEOUT_MS = 500;

/** What calls report and ask of requests that crash targets. */
export type CrashNotes = Pick<CrashWatch, 'isRefused' | 'noteDeath' | 'noteCompleted'>;

/** What the watch needs. */
export interface CrashWatchOptions {
  readonly network: wire.PeerNetwork;
  readonly membership: Pick<membership.Membership, 'available'>;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
}

/** Finds requests that crash each target that runs them, by what all VMs have seen. */
export class CrashWatch implements lifetime.Disposable {
  private readonly fingerprints: targets.CrashFingerprints;

  private readonly served: lifetime.Disposable;

  public constructor(private readonly options: CrashWatchOptions) {
    this.fingerprints = new targets.CrashFingerprints(options.clock, DEATHS_TO_REFUSE);
    this.served = options.network.serve(messages.TARGET_DEATH, async ({ fingerprint, target }) => {
      this.fingerprints.noteDeath({ fingerprint, target, sentAt: options.clock.now() });
      return trueMyth.Result.ok({});
    });
  }

  /** Whether a request is refused because targets have died of it. */
  public isRefused(context: callContext.CallContext): boolean {
    const { fingerprints } = this;
    return fingerprints.hasQuarantined && fingerprints.isQuarantined(fingerprintOf(context));
  }

  /** Notes that a target closed the connection while it ran a request, and tells the peers. */
  public noteDeath(
    context: callContext.CallContext,
    target: Target,
    sentAt: clock.Milliseconds,
  ): void {
    const { logger, membership: members, network } = this.options;
    const fingerprint = fingerprintOf(context);
    const refused = this.fingerprints.noteDeath({ fingerprint, target: target.id, sentAt });
    if (refused) {
      const fields = { request: context.call.id, target: target.id };
      logger.warn('A request is refused from now on: targets died of it.', fields);
    }
    members
      .available()
      .filter(({ name }) => name !== network.self.name)
      .forEach(({ address }) => {
        const options = { timeoutMs: NEWS_TIMEOUT_MS };
        network.request(
          address,
          messages.TARGET_DEATH,
          { fingerprint, target: target.id },
          options,
        );
      });
  }

  /** Notes that a target ran a request to its end. */
  public noteCompleted(context: callContext.CallContext): void {
    if (this.fingerprints.hasSuspects) this.fingerprints.noteCompleted(fingerprintOf(context));
  }

  /** @inheritdoc */
  public dispose(): void {
    this.served.dispose();
    this.fingerprints.dispose();
  }
}

function fingerprintOf({ call, workspace }: callContext.CallContext): string {
  return crypto
    .createHash('sha1')
    .update(`${workspace?.name ?? ''}\n${call.method}\n${call.host}\n${call.path}\n`)
    .update(call.body)
    .digest('base64');
}
