import * as jestGlobals from '@jest/globals';
import * as fastCheck from 'fast-check';
import * as journalRecord from './JournalRecord.js';
import type { JournalRecord } from './JournalRecord.js';
import * as shardReader from './ShardReader.js';
import * as testFixtures from './testing/testFixtures.js';

const { describe, expect, test } = jestGlobals;

const RUN = { seed: 20_261_204, numRuns: 400 };

/** A step of one of three writers; `pick` selects the record to repeat. */
type Step =
  | { kind: 'claim'; writer: number }
  | { kind: 'body'; writer: number }
  | { kind: 'repeat'; pick: number }
  | { kind: 'release'; writer: number }
  | { kind: 'read'; writer: number }
  | { kind: 'noise'; text: string };

const writerIndex = fastCheck.nat({ max: 2 });
const stepArbitrary: fastCheck.Arbitrary<Step> = fastCheck.oneof(
  fastCheck.record({ kind: fastCheck.constant('claim' as const), writer: writerIndex }),
  {
    weight: 4,
    arbitrary: fastCheck.record({ kind: fastCheck.constant('body' as const), writer: writerIndex }),
  },
  fastCheck.record({ kind: fastCheck.constant('repeat' as const), pick: fastCheck.nat() }),
  fastCheck.record({ kind: fastCheck.constant('release' as const), writer: writerIndex }),
  {
    weight: 2,
    arbitrary: fastCheck.record({ kind: fastCheck.constant('read' as const), writer: writerIndex }),
  },
  fastCheck.record({ kind: fastCheck.constant('noise' as const), text: fastCheck.string() }),
);

function holder(name: string) {
  return { name, incarnation: `${name}-1`, address: name };
}

/** Three writers that append according to what each has read, which may be outdated by a pause. */
class Writers {
  public readonly payloads: string[] = [];

  private readonly readers = [0, 1, 2].map(() => createReader());

  private sequence = 0;

  public perform(step: Step): void {
    if (step.kind === 'noise') this.payloads.push(step.text);
    else if (step.kind === 'read') this.catchUp(step.writer);
    else if (step.kind === 'repeat') this.repeat(step.pick);
    else this.payloads.push(journalRecord.encodeRecord(this.makeRecord(step.kind, step.writer)));
  }

  private catchUp(writer: number): void {
    const reader = this.readers[writer];
    if (reader !== undefined) feedAll(reader, this.payloads);
  }

  /** Appends a record again, as after a lost response. */
  private repeat(pick: number): void {
    const payload = this.payloads[pick % Math.max(1, this.payloads.length)];
    if (payload !== undefined) this.payloads.push(payload);
  }

  private makeRecord(kind: 'claim' | 'body' | 'release', writer: number): JournalRecord {
    const epoch = this.readers[writer]?.epoch ?? 0;
    this.sequence += 1;
    const id = { incarnation: `w${writer}-1`, sequence: this.sequence };
    const owner = holder(`w${writer}`);
    if (kind === 'claim') return { kind, id, shard: 0, epoch: epoch + 1, owner };
    const current = { id, shard: 0, epoch: Math.max(1, epoch) };
    if (kind === 'release') return { kind, ...current };
    return { kind, ...current, body: { word: `${writer}:${this.sequence}` } };
  }
}

function createReader(firstOffset = 0) {
  return new shardReader.ShardReader(0, testFixtures.wordSchema, firstOffset);
}

function feedAll(reader: ReturnType<typeof createReader>, payloads: readonly string[]) {
  return payloads
    .map((payload, offset) => ({ payload, offset, ageMs: 0 }))
    .filter(({ offset }) => offset >= reader.nextOffset)
    .map((record) => reader.feed(record));
}

function accepted(outcomes: ReturnType<typeof feedAll>) {
  return outcomes.filter(({ kind }) => kind === 'body' || kind === 'claim' || kind === 'release');
}

describe('ShardReader', () => {
  test('all readers agree, however the stream is split into pages', () => {
    const property = fastCheck.property(
      fastCheck.array(stepArbitrary, { maxLength: 60 }),
      fastCheck.nat({ max: 60 }),
      (steps, split) => {
        const writers = new Writers();
        steps.forEach((step) => writers.perform(step));
        const outcomes = feedAll(createReader(), writers.payloads);
        const reader = createReader();
        const first = feedAll(reader, writers.payloads.slice(0, split));
        const second = feedAll(reader, writers.payloads);
        expect([...first, ...second]).toEqual(outcomes);
      },
    );
    fastCheck.assert(property, RUN);
  });

  test('an epoch has one claim, accepts bodies of its owner only, and accepts each body once', () => {
    const property = fastCheck.property(
      fastCheck.array(stepArbitrary, { maxLength: 80 }),
      (steps) => {
        const writers = new Writers();
        steps.forEach((step) => writers.perform(step));
        const outcomes = accepted(feedAll(createReader(), writers.payloads));
        let epoch = 0;
        let owner: string | undefined;
        const ids = new Set<string>();
        outcomes.forEach((outcome) => {
          if (outcome.kind === 'claim') {
            expect(outcome.ownership.epoch).toBe(epoch + 1);
            epoch = outcome.ownership.epoch;
            owner = outcome.ownership.owner.incarnation;
          }
          if (outcome.kind !== 'body') return;
          expect(outcome.position.epoch).toBe(epoch);
          expect(ids.has(journalRecord.keyOf(outcome.id))).toBe(false);
          ids.add(journalRecord.keyOf(outcome.id));
          expect(owner).toBeDefined();
        });
      },
    );
    fastCheck.assert(property, RUN);
  });

  test('a void record is accepted when the new owner appends it again with its id', () => {
    const id = { incarnation: 'a-1', sequence: 7 };
    const body = { word: 'late' };
    const records: JournalRecord[] = [
      { kind: 'claim', id, shard: 0, epoch: 1, owner: holder('a') },
      { kind: 'claim', id, shard: 0, epoch: 2, owner: holder('b') },
      { kind: 'body', id, shard: 0, epoch: 1, body },
      { kind: 'body', id, shard: 0, epoch: 2, body },
      { kind: 'body', id, shard: 0, epoch: 2, body },
    ];
    const outcomes = feedAll(createReader(), records.map(journalRecord.encodeRecord));
    expect(outcomes.map(({ kind }) => kind)).toEqual(['claim', 'claim', 'void', 'body', 'repeat']);
  });

  test('a reader that starts after expired records is complete from the checkpoint on', () => {
    const id = { incarnation: 'a-1', sequence: 7 };
    const current = { id, shard: 0, epoch: 5 };
    const payloads = [
      { ...current, kind: 'body' as const, body: { word: 'kept' } },
      { ...current, kind: 'checkpoint' as const, owner: holder('a'), completeFrom: 12 },
    ].map(journalRecord.encodeRecord);
    const reader = createReader(10);
    expect(reader.hasGap).toBe(true);
    const outcomes = payloads.map((payload, index) =>
      reader.feed({ offset: 10 + index, ageMs: 0, payload }),
    );
    expect(outcomes.map(({ kind }) => kind)).toEqual(['body', 'claim']);
    expect(reader.ownership?.owner.name).toBe('a');
    expect(reader.hasGap).toBe(false);
  });
});
