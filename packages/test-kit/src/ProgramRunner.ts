import * as crypto from 'node:crypto';
import * as clock from '@limpettack/clock';
import * as callers from './Caller.js';

const TURN_LIMIT_MS = 40_000;
const TRY_LIMIT_MS = 15_000;
const PAUSE_MS = 100;
const DIGEST_CHARACTERS = 16;
const DIGEST_PATTERN = /^digest=([0-9a-f]{16});/;

/** Statuses after which a caller sends the same turn again. */
const PASSING_STATUSES = new Set([0, 408, 429, 502, 503, 504]);

/** One message of a program's history as the caller knows it. */
interface KnownMessage {
  readonly role: 'user' | 'assistant';
  readonly content: string;
}

/** The digest by which the engine stand-in shows the history that it was given. */
export function digestOfHistory(history: readonly KnownMessage[]): string {
  const text = JSON.stringify(history.map((message) => [message.role, message.content]));
  return crypto.createHash('sha256').update(text).digest('hex').slice(0, DIGEST_CHARACTERS);
}

/**
 * Runs one program as a sensible caller would: each turn is sent again, through any VM, until it is
 * answered, and each answer is checked to rest on exactly the history that the caller knows.
 */
export class ProgramRunner {
  private readonly history: KnownMessage[] = [];

  private readonly time = new clock.SystemClock();

  /** How often a turn had to be sent again. */
  public repeats = 0;

  private constructor(
    private readonly caller: callers.Caller,
    public readonly program: string,
    /** Picks the VM for the next try. */
    private readonly pickVm: () => callers.CallerEndpoint,
  ) {}

  /** Opens a program, on any VM that takes it. */
  public static async open(
    caller: callers.Caller,
    pickVm: () => callers.CallerEndpoint,
    options: Readonly<Record<string, unknown>> = {},
  ): Promise<ProgramRunner> {
    const time = new clock.SystemClock();
    const deadline = time.now() + TURN_LIMIT_MS;
    for (;;) {
      try {
        return new ProgramRunner(caller, await caller.openProgram(pickVm(), options), pickVm);
      } catch (error) {
        if (time.now() > deadline) throw error;
        await time.sleep(PAUSE_MS);
      }
    }
  }

  /** How many turns have been completed. */
  public get turns(): number {
    return this.history.length / 2;
  }

  /** Runs the next turn; throws when it is not answered in time or rests on another history. */
  public async turn(text: string, maximumTokens = 8): Promise<callers.CallerAnswer> {
    const turn = this.turns + 1;
    const answer = await this.untilAnswered({
      program: this.program,
      turn,
      text,
      maximumTokens,
      timeoutMs: TRY_LIMIT_MS,
    });
    if (answer.status !== 200) {
      throw new Error(`${this.program} turn ${turn}: ${answer.status} ${answer.text}`);
    }
    this.take(text, callers.contentOf(answer));
    return answer;
  }

  /** Ends the program. */
  public async end(): Promise<void> {
    const deadline = this.time.now() + TURN_LIMIT_MS;
    for (;;) {
      const path = `/v1/programs/${this.program}`;
      const answer = await this.caller.send(this.pickVm(), 'DELETE', path, {
        timeoutMs: TRY_LIMIT_MS,
      });
      if (answer.status === 200) return;
      if (this.time.now() > deadline) throw new Error(`No end: ${answer.status} ${answer.text}`);
      await this.time.sleep(PAUSE_MS);
    }
  }

  private async untilAnswered(options: callers.ChatOptions): Promise<callers.CallerAnswer> {
    const deadline = this.time.now() + TURN_LIMIT_MS;
    for (;;) {
      const answer = await this.caller.chat(this.pickVm(), options);
      if (!PASSING_STATUSES.has(answer.status) || this.time.now() > deadline) return answer;
      this.repeats += 1;
      await this.time.sleep(PAUSE_MS);
    }
  }

  private take(text: string, content: string): void {
    this.history.push({ role: 'user', content: text });
    const expected = digestOfHistory(this.history);
    const given = DIGEST_PATTERN.exec(content)?.[1];
    if (given !== expected) {
      const turn = (this.history.length + 1) / 2;
      throw new Error(`${this.program} turn ${turn}: digest ${given}, expected ${expected}`);
    }
    this.history.push({ role: 'assistant', content });
  }
}
