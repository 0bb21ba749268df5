import type * as clock from '@limpettack/clock';
import * as platformClient from '@limpettack/platform-client';
import * as trueMyth from 'true-myth';
import type { ConfigurationEdit, PublishFailure, PublishOutcome, PublishRequest } from './Types.js';
import * as applyChange from './applyChange.js';
import * as configurationReader from './ConfigurationReader.js';
import * as foldOutcomes from './FoldOutcomes.js';
import * as schemas from './schemas.js';

const DEFAULT_TIMEOUT_MS = 10_000;

/** Delay between two attempts, in milliseconds, before jitter. */
const RETRY_MS = 300;

/** Dependencies and settings of a publisher. */
export interface ConfigurationPublisherOptions {
  readonly log: platformClient.LogClient;
  readonly stream: string;
  readonly clock: clock.Clock;
  /** Returns a number of at least 0 and below 1. */
  readonly random?: () => number;
  /** How long an edit is retried, in milliseconds. */
  readonly timeoutMs?: clock.Milliseconds;
}

/** An edit that is being published. */
interface Attempt {
  readonly edit: ConfigurationEdit;
  readonly deadline: clock.Milliseconds;
  /** Whether the log may contain the record. */
  maybeAppended: boolean;
  /** The offset that the log returned; -1 before that. */
  appendedAt: number;
}

/** Appends operators' edits and determines whether they took effect. */
export class ConfigurationPublisher {
  /** Reads the stream and holds the state read so far. */
  public readonly reader: configurationReader.ConfigurationReader;

  private readonly random: () => number;

  public constructor(private readonly options: ConfigurationPublisherOptions) {
    this.reader = new configurationReader.ConfigurationReader(options.log, options.stream);
    this.random = options.random ?? Math.random;
  }

  /** Publishes a change. Retries during short outages and after lost responses. */
  public async publish(
    request: PublishRequest,
  ): Promise<trueMyth.Result<PublishOutcome, PublishFailure>> {
    const timeoutMs = this.options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    const attempt: Attempt = {
      edit: { kind: schemas.RECORD_KINDS.EDIT, ...request },
      deadline: this.options.clock.now() + timeoutMs,
      maybeAppended: false,
      appendedAt: -1,
    };
    for (;;) {
      const read = await this.reader.readToTail();
      const outcome = read.isOk ? this.outcomeOf(attempt.edit) : undefined;
      if (outcome) return trueMyth.Result.ok(outcome);
      const failure = read.isErr ? read.error : await this.append(attempt);
      if (failure && this.isFinal(failure, attempt)) {
        const { maybeAppended } = attempt;
        return trueMyth.Result.err({ message: failure.message, maybeApplied: maybeAppended });
      }
      if (failure) await this.waitBeforeRetry(failure);
    }
  }

  /** The outcome of an edit according to the stream; undefined while it can still take effect. */
  private outcomeOf(edit: ConfigurationEdit): PublishOutcome | undefined {
    const { version } = this.reader.state;
    const applied = this.reader.history.find(
      (entry) => entry.edit.id === edit.id && entry.outcome === foldOutcomes.FOLD_OUTCOMES.APPLIED,
    );
    if (applied) return { kind: 'applied', version: applied.version };
    if (this.reader.hasApplied(edit.id)) return { kind: 'applied', version };
    // Versions only increase, so an edit not based on the current version can never take effect.
    if (edit.basedOn !== version) return this.conflictOutcome(edit);
    const result = applyChange.applyChange(this.reader.state, edit.change);
    return result.isErr ? { kind: 'invalid', problems: result.error } : undefined;
  }

  private conflictOutcome(edit: ConfigurationEdit): PublishOutcome {
    const earlier = this.reader.history.filter(
      (entry) =>
        entry.outcome === foldOutcomes.FOLD_OUTCOMES.APPLIED && entry.version > edit.basedOn,
    );
    return { kind: 'conflict', version: this.reader.state.version, earlier };
  }

  private async append(attempt: Attempt): Promise<platformClient.PlatformFailure | undefined> {
    if (this.reader.nextOffset <= attempt.appendedAt) return notVisibleFailure();
    const { log, stream } = this.options;
    const result = await log.append(stream, [JSON.stringify(attempt.edit)]);
    if (result.isOk) {
      Object.assign(attempt, { maybeAppended: true, appendedAt: result.value });
      return undefined;
    }
    if (result.error.kind === platformClient.PLATFORM_FAILURES.LOST) {
      Object.assign(attempt, { maybeAppended: true });
    }
    return result.error;
  }

  private isFinal(failure: platformClient.PlatformFailure, attempt: Attempt): boolean {
    const { EXPIRED, INVALID } = platformClient.PLATFORM_FAILURES;
    if (failure.kind === EXPIRED || failure.kind === INVALID) return true;
    return this.options.clock.now() >= attempt.deadline;
  }

  private async waitBeforeRetry(failure: platformClient.PlatformFailure): Promise<void> {
    const delayMs = failure.retryAfterMs ?? RETRY_MS * (0.5 + this.random());
    await this.options.clock.sleep(delayMs);
  }
}

function notVisibleFailure(): platformClient.PlatformFailure {
  return {
    kind: platformClient.PLATFORM_FAILURES.UNAVAILABLE,
    message: 'The log took the record but does not show it yet.',
  };
}
