import * as clock from '@limpettack/clock';
import * as zod from 'zod';
import * as shardJournal from '../ShardJournal.js';
import type { RecordPosition, ShardFold } from '../Types.js';
import * as manualMembers from './ManualMembers.js';
import * as memoryLog from './MemoryLog.js';
import * as memoryNetworks from './MemoryNetworks.js';
import * as processPauses from './ProcessPauses.js';

/** The clock of the tests that run the journals of several processes. */
export const systemClock = new clock.SystemClock();

/** Schema of the body that the tests append: one word. */
export const wordSchema = zod.object({ word: zod.string() });

/** The body that the tests append. */
export type Word = zod.infer<typeof wordSchema>;

/** The state in the tests: all words with their offsets, and the epochs of all claims. */
export interface Words {
  words: { word: string; offset: number }[];
  epochs: number[];
}

/** Creates a fold that keeps each word once, at its latest offset. */
export function createWordFold(): ShardFold<Words, Word> {
  return {
    body: wordSchema,
    createState: () => ({ words: [], epochs: [] }),
    apply: (state, { word }, { offset }: RecordPosition) => {
      const others = state.words.filter((known) => known.word !== word);
      Object.assign(state, { words: [...others, { word, offset }] });
    },
    applyClaim: (state, { epoch }) => {
      state.epochs.push(epoch);
    },
    renew: (state, expiringBelow) =>
      state.words.filter(({ offset }) => offset < expiringBelow).map(({ word }) => ({ word })),
  };
}

/** Returns the words of a state in order. */
export function wordsOf(state: Words | undefined): string[] {
  return (state?.words ?? []).map(({ word }) => word);
}

const ignore = () => undefined;

/** Creates the log, networks and members that the journals of a test share. */
export function createCluster() {
  const log = new memoryLog.MemoryLog();
  const paused = new processPauses.ProcessPauses();
  const networks = new memoryNetworks.MemoryNetworks(paused);
  const members = new manualMembers.ManualMembers();
  const journals = new Map<string, shardJournal.ShardJournal<Words, Word>>();
  const cutFromLog = new Set<string>();
  const start = async (
    name: string,
    options: Partial<shardJournal.ShardJournalOptions<Words, Word>> = {},
    incarnation = `${name}-1`,
    failureDomain = name,
  ) => {
    const self = { name, incarnation, address: name, failureDomain };
    const journal = await shardJournal.ShardJournal.start<Words, Word>({
      shardCount: 1,
      log: log.connect(
        () => cutFromLog.has(name),
        () => paused.waitUntilResumed(name),
      ),
      network: networks.connect(self),
      membership: members.connect(self),
      clock: paused.clockOf(name),
      fold: createWordFold(),
      logger: { debug: ignore, info: ignore, warn: ignore, error: ignore },
      appendsPerSecond: 1_000,
      suspicionMs: 200,
      authorityWindowMs: 100,
      ...options,
    });
    journals.set(name, journal);
    return journal;
  };
  const dispose = async () => {
    await Promise.all([...journals.values()].map((journal) => journal.dispose()));
  };
  return { log, paused, networks, members, journals, cutFromLog, start, dispose };
}

/** Waits until a condition holds. Throws after the timeout. */
export async function waitUntil(condition: () => boolean, timeoutMs = 8_000): Promise<void> {
  const end = systemClock.now() + timeoutMs;
  while (!condition()) {
    if (systemClock.now() > end) throw new Error(`Not in time: ${condition.toString()}`);
    await systemClock.sleep(5);
  }
}
