import * as cacheEventFeed from './CacheEventFeed.js';
import * as generateText from './generateText.js';
import type { TextMessage } from './generateText.js';

const { CACHE_EVENT_KINDS } = cacheEventFeed;

/** A message as the cache knows it. */
interface CachedMessage {
  readonly digest: string;
  readonly tokens: number;
}

/** What the cache holds for a program. */
export interface Session {
  readonly program: string;
  readonly tokens: number;
}

/** The prefixes held for programs in bounded memory; the one used longest ago goes first. */
export class PrefixCache {
  /** In the order of use, the latest last. */
  private readonly sessions = new Map<string, readonly CachedMessage[]>();

  private held = 0;

  public constructor(
    private readonly capacityTokens: number,
    private readonly feed: cacheEventFeed.CacheEventFeed,
  ) {}

  /** Tokens held for all programs. */
  public get heldTokens(): number {
    return this.held;
  }

  /** Tokens of the leading messages that are held for a program. */
  public cachedTokens(program: string, messages: readonly TextMessage[]): number {
    const cached = this.sessions.get(program) ?? [];
    const prompt = messages.map(describe);
    const differing = prompt.findIndex(
      (message, index) => message.digest !== cached[index]?.digest,
    );
    const shared = differing < 0 ? prompt : prompt.slice(0, differing);
    return tokensOf(shared);
  }

  /** Holds messages for a program and evicts others when memory is short. */
  public store(program: string, messages: readonly TextMessage[]): void {
    this.put(program, messages.map(describe));
  }

  /** All that is held for programs. */
  public list(): readonly Session[] {
    return [...this.sessions].map(([program, messages]) => ({
      program,
      tokens: tokensOf(messages),
    }));
  }

  /** Frees what is held for a program. */
  public release(program: string): void {
    const tokens = this.remove(program);
    if (tokens !== undefined) this.feed.add(CACHE_EVENT_KINDS.EVICTED, program, tokens);
  }

  /** Frees everything without a trace, as a crash does. */
  public clear(): void {
    this.sessions.clear();
    this.held = 0;
  }

  /** What is held for a program, to be imported elsewhere; undefined when nothing is. */
  public export(program: string): { readonly blob: string; readonly tokens: number } | undefined {
    const messages = this.sessions.get(program);
    if (messages === undefined) return undefined;
    const blob = Buffer.from(JSON.stringify(messages)).toString('base64');
    return { blob, tokens: tokensOf(messages) };
  }

  /** Holds what another engine has exported. */
  public import(program: string, blob: string): void {
    const text = Buffer.from(blob, 'base64').toString('utf8');
    this.put(program, JSON.parse(text) as readonly CachedMessage[]);
  }

  private put(program: string, messages: readonly CachedMessage[]): void {
    this.remove(program);
    const tokens = tokensOf(messages);
    this.sessions.set(program, messages);
    this.held += tokens;
    this.feed.add(CACHE_EVENT_KINDS.STORED, program, tokens);
    for (const oldest of this.sessions.keys()) {
      if (this.held <= this.capacityTokens) break;
      this.release(oldest);
    }
  }

  private remove(program: string): number | undefined {
    const messages = this.sessions.get(program);
    if (messages === undefined) return undefined;
    const tokens = tokensOf(messages);
    this.sessions.delete(program);
    this.held -= tokens;
    return tokens;
  }
}

function describe(message: TextMessage): CachedMessage {
  return {
    digest: generateText.digestOf([message]),
    tokens: generateText.countTokens(message),
  };
}

function tokensOf(messages: readonly CachedMessage[]): number {
  return messages.reduce((sum, message) => sum + message.tokens, 0);
}
