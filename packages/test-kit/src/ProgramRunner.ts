import * as crypto from 'node:crypto';
import * as clock from '@limpettack/clock';
import * as callers from './Caller.js';

const TURN_TIMEOUT_MS = 40_000;
const ATTEMPT_TIMEOUT_MS = 15_000;
const RETRY_INTERVAL_MS = 100;
const DIGEST_CHARACTERS = 16;
const DIGEST_PATTERN = /^digest=([0-9a-f]{16});/;

/** Response statuses after which a turn is sent again. */
const RETRIABLE_STATUSES = new Set([0, 408, 429, 502, 503, 504]);

/** A message in the caller's copy of a program's history. */
interface HistoryMessage {
  readonly role: 'user' | 'assistant';
  readonly content: string;
}

/** Returns the digest of a history as the engine stand-in prints it in its responses. */
export function digestOfHistory(history: readonly HistoryMessage[]): string {
  const text = JSON.stringify(history.map((message) => [message.role, message.content]));
  return crypto.createHash('sha256').update(text).digest('hex').slice(0, DIGEST_CHARACTERS);
}

/**
 * Runs a program like a caller with retries. Each turn is sent again through any VM until it is
 * answered, and the digest in each response is compared with the caller's copy of the history.
 */
export class ProgramRunner {
  private readonly history: HistoryMessage[] = [];

  private readonly time = new clock.SystemClock();

  /** Number of times that a turn was sent again. */
  public retryCount = 0;

  private constructor(
    private readonly caller: callers.Caller,
    public readonly program: string,
    /** Picks the VM for the next attempt. */
    private readonly pickVm: () => callers.CallerEndpoint,
  ) {}

  /** Opens a program through any VM that accepts it. Throws if none does within the timeout. */
  public static async open(
    caller: callers.Caller,
    pickVm: () => callers.CallerEndpoint,
    options: Readonly<Record<string, unknown>> = {},
  ): Promise<ProgramRunner> {
    const time = new clock.SystemClock();
    const deadline = time.now() + TURN_TIMEOUT_MS;
    for (;;) {
      try {
        return new ProgramRunner(caller, await caller.openProgram(pickVm(), options), pickVm);
      } catch (error) {
        if (time.now() > deadline) throw error;
        await time.sleep(RETRY_INTERVAL_MS);
      }
    }
  }

  /** Number of completed turns. */
  public get turns(): number {
    return this.history.length / 2;
  }

  /** Runs the next turn. Throws if it is not answered in time or its history digest is wrong. */
  public async turn(text: string, maximumTokens = 8): Promise<callers.CallerResponse> {
    const turn = this.turns + 1;
    const response = await this.sendUntilAnswered({
      program: this.program,
      turn,
      text,
      maximumTokens,
      timeoutMs: ATTEMPT_TIMEOUT_MS,
    });
    if (response.status !== 200) {
      throw new Error(`${this.program} turn ${turn}: ${response.status} ${response.text}`);
    }
    this.appendToHistory(text, callers.contentOf(response));
    return response;
  }

  /** Ends the program, with retries. Throws if the timeout expires. */
  public async end(): Promise<void> {
    const deadline = this.time.now() + TURN_TIMEOUT_MS;
    for (;;) {
      const path = `/v1/programs/${this.program}`;
      const response = await this.caller.send(this.pickVm(), 'DELETE', path, {
        timeoutMs: ATTEMPT_TIMEOUT_MS,
      });
      if (response.status === 200) return;
      if (this.time.now() > deadline)
        throw new Error(`The program was not ended: ${response.status} ${response.text}`);
      await this.time.sleep(RETRY_INTERVAL_MS);
    }
  }

  private async sendUntilAnswered(options: callers.ChatOptions): Promise<callers.CallerResponse> {
    const deadline = this.time.now() + TURN_TIMEOUT_MS;
    for (;;) {
      const response = await this.caller.chat(this.pickVm(), options);
      if (!RETRIABLE_STATUSES.has(response.status) || this.time.now() > deadline) return response;
      this.retryCount += 1;
      await this.time.sleep(RETRY_INTERVAL_MS);
    }
  }

  private appendToHistory(text: string, content: string): void {
    this.history.push({ role: 'user', content: text });
    const expected = digestOfHistory(this.history);
    const actual = DIGEST_PATTERN.exec(content)?.[1];
    if (actual !== expected) {
      const turn = (this.history.length + 1) / 2;
      throw new Error(`${this.program} turn ${turn}: digest ${actual}, expected ${expected}`);
    }
    this.history.push({ role: 'assistant', content });
  }
}
