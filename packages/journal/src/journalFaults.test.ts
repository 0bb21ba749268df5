import * as jestGlobals from '@jest/globals';
import * as fastCheck from 'fast-check';
import * as shardReader from './ShardReader.js';
import * as testFixtures from './testing/testFixtures.js';
import type { AppendResult } from './WriterQueue.js';

const { afterEach, beforeEach, describe, expect, test } = jestGlobals;
const { systemClock, waitUntil, wordsOf } = testFixtures;

const PROCESS_NAMES = ['a', 'b', 'c'];
const OPTIONS = { suspicionMs: 50, authorityWindowMs: 40 };
const FAULT_COUNT = 14;
const SEED = Number(process.env.JOURNAL_SEED ?? 20_261_204);

/** A fault of a process and a fault of the log that occur at the same time. */
const faultArbitrary = fastCheck.record({
  process: fastCheck.constantFrom('none', 'pause', 'cut', 'cut-from-log', 'restart'),
  log: fastCheck.constantFrom('none', 'none', 'outage', 'lose-answers', 'lose-requests'),
  victim: fastCheck.constantFrom('owner', 'owner', 'standby'),
  faultDurationMs: fastCheck.integer({ min: 50, max: 800 }),
  recoveryMs: fastCheck.integer({ min: 0, max: 300 }),
});

type FaultCase = typeof faultArbitrary extends fastCheck.Arbitrary<infer Value> ? Value : never;

/** Reads the complete stream as every reader does. */
function readAll(cluster: ReturnType<typeof testFixtures.createCluster>) {
  const reader = new shardReader.ShardReader(0, testFixtures.wordSchema);
  const records = cluster.log.streams.get('journal-0') ?? [];
  const outcomes = records.map(({ payload }, offset) => reader.feed({ offset, ageMs: 0, payload }));
  const bodies = outcomes.filter((outcome) => outcome.kind === 'body');
  return {
    epoch: reader.epoch,
    offsets: new Map(bodies.map((b) => [b.body.word, b.position.offset])),
  };
}

describe('ShardJournal under faults', () => {
  let cluster: ReturnType<typeof testFixtures.createCluster>;

  let restarts = 0;

  beforeEach(() => {
    cluster = testFixtures.createCluster();
  });

  afterEach(() => cluster.dispose());

  function pickVictim(role: string) {
    const ownership = cluster.journals.get('a')?.ownership(0);
    return (role === 'owner' ? ownership?.owner.name : ownership?.standby?.name) ?? 'a';
  }

  /** Ends a process without a handover and starts another one on its VM. */
  async function restart(name: string) {
    await cluster.journals.get(name)?.dispose();
    restarts += 1;
    const start = cluster.start(name, OPTIONS, `${name}-1-${restarts}`);
    // The start is not awaited, because it may wait for the log while further faults occur.
    start.catch(() => undefined);
  }

  function setFault({ process: kind, log: logKind, victim: role }: FaultCase) {
    const victim = pickVictim(role);
    const { log, members, networks, paused, cutFromLog } = cluster;
    if (kind === 'restart') restart(victim).catch(() => undefined);
    const isUnreachable = kind === 'pause' || kind === 'cut';
    if (isUnreachable) members.set(victim, { state: 'suspected' });
    if (kind === 'pause') paused.pause(victim);
    if (kind === 'cut') networks.cut.add(victim);
    if (kind === 'cut' || kind === 'cut-from-log') cutFromLog.add(victim);
    if (logKind === 'outage') log.isDown = true;
    if (logKind === 'lose-answers') log.loseAnswers = 2;
    if (logKind === 'lose-requests') log.loseRequests = 2;
  }

  function allReachLog() {
    return [...cluster.journals.values()].every((journal) => journal.isLogAvailable());
  }

  function clearFaults() {
    const { log, members, networks, paused, cutFromLog } = cluster;
    log.isDown = false;
    networks.cut.clear();
    cutFromLog.clear();
    PROCESS_NAMES.forEach((name) => {
      paused.resume(name);
      members.set(name, { state: 'available' });
    });
  }

  test('acknowledged records are kept, and refused records are never accepted', async () => {
    for (const name of PROCESS_NAMES) await cluster.start(name, OPTIONS);
    const results = new Map<string, AppendResult>();
    const pending = new Set<Promise<void>>();
    const authorityViolations: string[] = [];
    let count = 0;

    const appendTo = async (name: string) => {
      count += 1;
      const word = `${name}${count}`;
      const options = { replicateInOutage: count % 3 !== 0 };
      const result = await cluster.journals.get(name)?.append(0, { word }, options);
      if (result !== undefined) results.set(word, result);
    };
    const checkAuthority = async (name: string) => {
      const { epoch } = readAll(cluster);
      const result = await cluster.journals.get(name)?.confirmAuthority(0, 0);
      if (result?.isOk && result.value.epoch < epoch) authorityViolations.push(`${name}@${epoch}`);
    };
    const track = (task: Promise<void>) => {
      const tracked = task.finally(() => pending.delete(tracked));
      pending.add(tracked);
    };
    const stopping = new AbortController();
    const appendToOwners = () => {
      PROCESS_NAMES.filter((name) => cluster.journals.get(name)?.owned(0)).forEach((name) => {
        track(appendTo(name));
        if (count % 10 === 0) track(checkAuthority(name));
      });
    };
    const appendUntilStopped = async () => {
      while (!stopping.signal.aborted) {
        appendToOwners();
        await systemClock.sleep(5);
      }
    };
    const appending = appendUntilStopped();
    for (const fault of fastCheck.sample(faultArbitrary, { seed: SEED, numRuns: FAULT_COUNT })) {
      setFault(fault);
      await systemClock.sleep(fault.faultDurationMs);
      clearFaults();
      // Replicated records are held by two processes until they are in the log. The next process
      // may only end after the owner has reached the log again, because the loss of both processes
      // at once is not covered.
      await waitUntil(allReachLog);
      await systemClock.sleep(fault.recoveryMs);
    }
    stopping.abort();
    await appending;
    await waitUntil(() => pending.size === 0);
    const owner = () => [...cluster.journals.values()].find((journal) => journal.owned(0));
    await waitUntil(() => owner() !== undefined);
    await waitUntil(() => owner()?.owned(0)?.state.words.length === readAll(cluster).offsets.size);

    const { offsets } = readAll(cluster);
    const violations = [...results].filter(([word, result]) => {
      if (result.isErr) return result.error.details?.mayCount !== true && offsets.has(word);
      const { offset } = result.value;
      return offset === -1 ? !offsets.has(word) : offsets.get(word) !== offset;
    });
    expect(violations.map(([word, result]) => `${word}: ${result.toString()}`)).toEqual([]);
    expect(authorityViolations).toEqual([]);
    expect(wordsOf(owner()?.owned(0)?.state)).toEqual([...offsets.keys()]);
    expect(offsets.size).toBeGreaterThan(FAULT_COUNT);
  });
});
