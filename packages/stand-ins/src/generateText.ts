import * as crypto from 'node:crypto';

/** The part of a chat message that the generated text depends on. */
export interface TextMessage {
  readonly role: string;
  readonly content?: unknown;
}

const DIGEST_CHARACTERS = 16;
const HEXADECIMAL = 16;
const WORD_SEED_CHARACTERS = 8;
const WORD_STEP = 7_919;
const WORD_COUNT = 9_973;

/** Truncated SHA-256 digest of the roles and contents of messages, 16 hexadecimal characters. */
export function digestOf(messages: readonly TextMessage[]): string {
  const pairs = messages.map((message) => [message.role, message.content]);
  const digest = crypto.createHash('sha256').update(JSON.stringify(pairs)).digest('hex');
  return digest.slice(0, DIGEST_CHARACTERS);
}

/** The token at an index of the text that a simulated engine generates for messages of a digest. */
export function tokenOf(digest: string, index: number): string {
  if (index === 0) return `digest=${digest};`;
  const seed = Number.parseInt(digest.slice(0, WORD_SEED_CHARACTERS), HEXADECIMAL);
  return ` w${(seed + index * WORD_STEP) % WORD_COUNT}`;
}

/** The complete text of `tokens` tokens that a simulated engine generates for the messages. */
export function expectedText(messages: readonly TextMessage[], tokens: number): string {
  const digest = digestOf(messages);
  return Array.from({ length: tokens }, (_, index) => tokenOf(digest, index)).join('');
}

/** Number of tokens in a message: the words of its content, separated by white space. */
export function countTokens(message: TextMessage): number {
  const { content } = message;
  if (content === undefined || content === null) return 0;
  const text = typeof content === 'string' ? content : JSON.stringify(content);
  return text.split(/\s+/).filter((word) => word.length > 0).length;
}
