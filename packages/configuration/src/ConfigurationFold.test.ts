import * as jestGlobals from '@jest/globals';
import * as fastCheck from 'fast-check';
import type { ConfigurationChange, ConfigurationRecord } from './Types.js';
import * as configurationFold from './ConfigurationFold.js';
import * as schemas from './schemas.js';
import * as createTables from './testing/createTables.js';

const { describe, expect, test } = jestGlobals;

const RUNS = { seed: 20_261_204, numRuns: 200 };

function foldOf(records: readonly ConfigurationRecord[], from = 0) {
  const fold = new configurationFold.ConfigurationFold();
  fold.skipTo(from);
  records.slice(from).forEach((record, index) => fold.apply({ offset: from + index, record }));
  return fold;
}

const CHANGES: readonly ConfigurationChange[] = [
  createTables.createTablesChange(),
  { kind: 'putWorkspace', workspace: { name: 'sierra', ratePerSecond: 1, burst: 1 } },
  { kind: 'removeWorkspace', name: 'sierra' },
  { kind: 'giveKey', key: { digest: 'a'.repeat(64), workspace: 'sierra', label: '' } },
  { kind: 'withdrawKey', digest: 'a'.repeat(64) },
  { kind: 'removePool', name: 'agents' },
];

/** A step of an operator or a VM; `lag` is the number of records that it has not read yet. */
const STEP = fastCheck.record({
  action: fastCheck.constantFrom('edit', 'edit', 'edit', 'repeat', 'snapshot'),
  change: fastCheck.constantFrom(...CHANGES),
  lag: fastCheck.nat({ max: 3 }),
});

type Step = typeof STEP extends fastCheck.Arbitrary<infer Value> ? Value : never;

function simulate(steps: readonly Step[]): readonly ConfigurationRecord[] {
  const log: ConfigurationRecord[] = [];
  steps.forEach((step, index) => {
    const seen = foldOf(log.slice(0, Math.max(0, log.length - step.lag)));
    const repeated = log.at(-1 - step.lag);
    if (step.action === 'snapshot') log.push(seen.snapshot());
    else if (step.action === 'repeat' && repeated) log.push(repeated);
    else log.push(createTables.createEdit(seen.state.version, step.change, `edit-${index}`));
  });
  return log;
}

describe('ConfigurationFold', () => {
  test('gives all readers the same state after concurrent edits, repeated edits and snapshots', () => {
    const property = fastCheck.property(fastCheck.array(STEP, { maxLength: 25 }), (steps) => {
      const log = simulate(steps);
      const complete = foldOf(log);
      const versions = log.map((_, index) => foldOf(log.slice(0, index + 1)).state.version);
      versions.forEach((version, index) => {
        const before = versions[index - 1] ?? 0;
        if (version === before) return;
        // Only an edit that is based on the current version creates a version, the next one.
        expect(version).toBe(before + 1);
        expect(log[index]).toMatchObject({ kind: 'configurationEdit', basedOn: before });
      });
      log.forEach((_, from) => {
        const lateReader = foldOf(log, from);
        if (!lateReader.hasGap) expect(lateReader.snapshot()).toEqual(complete.snapshot());
      });
    });
    fastCheck.assert(property, RUNS);
  });

  test('gives a reader that pulls from peers the same state as the log', () => {
    const property = fastCheck.property(
      fastCheck.array(STEP, { maxLength: 25 }),
      fastCheck.array(fastCheck.nat({ max: 25 }), { maxLength: 8 }),
      (steps, pulls) => {
        const log = simulate(steps);
        const reader = new configurationFold.ConfigurationFold();
        pulls.forEach((length) => {
          const before = reader.state.version;
          const record = foldOf(log.slice(0, length)).snapshot();
          reader.apply({ offset: record.asOf - 1, record });
          expect(reader.state.version).toBeGreaterThanOrEqual(before);
        });
        const start = reader.nextOffset;
        log.slice(start).forEach((record, index) => {
          reader.apply({ offset: start + index, record });
        });
        expect(reader.snapshot()).toEqual(foldOf(log).snapshot());
      },
    );
    fastCheck.assert(property, RUNS);
  });

  test('does not start from a stale snapshot when records after its state have expired', () => {
    const log: ConfigurationRecord[] = [
      createTables.createEdit(0, createTables.createTablesChange()),
    ];
    const stale = foldOf(log).snapshot();
    log.push(createTables.createEdit(1, { kind: 'removeRoute', name: 'info' }), stale);
    expect(foldOf(log, 1).state.routes.has('info')).toBe(false);
    expect(foldOf(log, 2).hasGap).toBe(true);
  });

  test.each<[string, ConfigurationChange]>([
    ['a route without its pool', { kind: 'removePool', name: 'agents' }],
    ['a route without its workspace', { kind: 'removeWorkspace', name: 'andes' }],
    ['a missing row', { kind: 'removeRoute', name: 'nowhere' }],
    [
      'a pool of another kind',
      {
        kind: 'putPool',
        pool: schemas.POOL.parse({ name: 'agents', kind: 'service', targets: [] }),
      },
    ],
    [
      'a key without its workspace',
      { kind: 'giveKey', key: { digest: 'b'.repeat(64), workspace: 'nowhere', label: '' } },
    ],
  ])('refuses an edit that leaves %s', (_, change) => {
    const fold = foldOf([createTables.createEdit(0, createTables.createTablesChange())]);
    const result = fold.apply({ offset: 1, record: createTables.createEdit(1, change) });
    expect(result.outcome).toBe('invalid');
    expect(result.problems).not.toHaveLength(0);
    expect(fold.state.version).toBe(1);
  });
});
