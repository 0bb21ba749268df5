import * as cacheEventFeed from './CacheEventFeed.js';
import * as generateText from './generateText.js';
import type { TextMessage } from './generateText.js';

const { CACHE_EVENT_KINDS } = cacheEventFeed;

/** Digest and token count of a cached message. */
interface CachedMessage {
  readonly digest: string;
  readonly tokens: number;
}

/** Number of tokens that are cached for a program. */
export interface Session {
  readonly program: string;
  readonly tokens: number;
}

/** Cache of one prefix per program; above its capacity it evicts the least recently stored. */
export class PrefixCache {
  /** Ordered by the last store, the most recent session last. */
  private readonly sessions = new Map<string, readonly CachedMessage[]>();

  private totalTokens = 0;

  public constructor(
    private readonly capacityTokens: number,
    private readonly feed: cacheEventFeed.CacheEventFeed,
  ) {}

  /** Number of tokens cached for all programs. */
  public get heldTokens(): number {
    return this.totalTokens;
  }

  /** Number of tokens in the leading messages that are cached for a program. */
  public cachedTokens(program: string, messages: readonly TextMessage[]): number {
    const cached = this.sessions.get(program) ?? [];
    const prompt = messages.map(toCachedMessage);
    const firstDifference = prompt.findIndex(
      (message, index) => message.digest !== cached[index]?.digest,
    );
    const sharedPrefix = firstDifference < 0 ? prompt : prompt.slice(0, firstDifference);
    return tokensOf(sharedPrefix);
  }

  /** Caches messages for a program and evicts the least recently stored sessions above capacity. */
  public store(program: string, messages: readonly TextMessage[]): void {
    this.replaceSession(program, messages.map(toCachedMessage));
  }

  /** Lists the cached sessions. */
  public list(): readonly Session[] {
    return [...this.sessions].map(([program, messages]) => ({
      program,
      tokens: tokensOf(messages),
    }));
  }

  /** Evicts the session of a program and publishes the eviction. */
  public release(program: string): void {
    const tokens = this.remove(program);
    if (tokens !== undefined) this.feed.add(CACHE_EVENT_KINDS.EVICTED, program, tokens);
  }

  /** Removes all sessions without publishing evictions, as in a crash. */
  public clear(): void {
    this.sessions.clear();
    this.totalTokens = 0;
  }

  /** Serializes the session of a program for an import; undefined when there is none. */
  public export(program: string): { readonly blob: string; readonly tokens: number } | undefined {
    const messages = this.sessions.get(program);
    if (messages === undefined) return undefined;
    const blob = Buffer.from(JSON.stringify(messages)).toString('base64');
    return { blob, tokens: tokensOf(messages) };
  }

  /** Caches a session that another engine has exported. */
  public import(program: string, blob: string): void {
    const text = Buffer.from(blob, 'base64').toString('utf8');
    this.replaceSession(program, JSON.parse(text) as readonly CachedMessage[]);
  }

  private replaceSession(program: string, messages: readonly CachedMessage[]): void {
    this.remove(program);
    const tokens = tokensOf(messages);
    this.sessions.set(program, messages);
    this.totalTokens += tokens;
    this.feed.add(CACHE_EVENT_KINDS.STORED, program, tokens);
    for (const oldest of this.sessions.keys()) {
      if (this.totalTokens <= this.capacityTokens) break;
      this.release(oldest);
    }
  }

  private remove(program: string): number | undefined {
    const messages = this.sessions.get(program);
    if (messages === undefined) return undefined;
    const tokens = tokensOf(messages);
    this.sessions.delete(program);
    this.totalTokens -= tokens;
    return tokens;
  }
}

function toCachedMessage(message: TextMessage): CachedMessage {
  return {
    digest: generateText.digestOf([message]),
    tokens: generateText.countTokens(message),
  };
}

function tokensOf(messages: readonly CachedMessage[]): number {
  return messages.reduce((sum, message) => sum + message.tokens, 0);
}
