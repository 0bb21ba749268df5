/**
 * Runs fleets of real processes under a mixed load and a random schedule of all faults, one fleet
 * per seed, and prints for each promise how often it was checked and violated.
 *
 * npm run soak -- --seeds 20 [--first 1] [--span 20000] [--beside 2] [--out FILE]
 */
import * as fs from 'node:fs/promises';
import * as cac from 'cac';
import * as run from './runSeed.mjs';
import * as verdictsModule from './Verdicts.mjs';

const SHOWN_VIOLATIONS = 8;
const SHOWN_CHARACTERS = 1_500;

function formatSeed({ seed, verdicts, events, warnings, error }) {
  const violated = [...verdicts.rows].filter(([, row]) => row.violations.length > 0);
  const details = violated.flatMap(([promise, row]) =>
    row.violations
      .slice(0, SHOWN_VIOLATIONS)
      .map((text) => `  ${promise}: ${text.slice(0, SHOWN_CHARACTERS)}`),
  );
  const verdict =
    error === undefined ? `${verdicts.violationCount} violations` : `not run: ${error}`;
  const schedule = details.length > 0 ? events.map((event) => `    ${event}`) : [];
  return [`seed ${seed}: ${verdict}`, ...details, ...schedule, ...warnings].join('\n');
}

function formatSummary(results) {
  const rows = Object.values(verdictsModule.PROMISES).map((promise) => {
    const all = results.map(({ verdicts }) => verdicts.rows.get(promise));
    const runs = all.filter((row) => row.checks > 0).length;
    const checks = all.reduce((sum, row) => sum + row.checks, 0);
    const violations = all.reduce((sum, row) => sum + row.violations.length, 0);
    const cells = [runs, checks, violations].map((count) => String(count).padStart(11));
    return `${promise.padEnd(28)}${cells.join('')}`;
  });
  const headings = ['runs', 'checks', 'violations'].map((head) => head.padStart(11));
  return [`${'promise'.padEnd(28)}${headings.join('')}`, ...rows, '', ...formatFigures(results)];
}

function formatFigures(results) {
  const total = new verdictsModule.Verdicts();
  results.forEach(({ verdicts }) => {
    verdicts.figures.forEach((value, name) => {
      if (name.startsWith('slowest')) total.raise(name, value);
      else total.count(name, value);
    });
  });
  return [...total.figures].sort().map(([name, value]) => `${name}: ${value}`);
}

async function runOne(seed, durationMs) {
  const verdicts = new verdictsModule.Verdicts();
  const result = { seed, verdicts, events: [], warnings: [], error: undefined };
  try {
    const { events, warnings } = await run.runSeed(seed, durationMs, verdicts);
    Object.assign(result, { events, warnings });
  } catch (error) {
    result.error = String(error.stack);
  }
  console.log(formatSeed(result));
  return result;
}

/** Runs the seeds, at most `concurrency` at a time. */
async function runAll(seeds, durationMs, concurrency) {
  const queue = [...seeds];
  const results = [];
  const worker = async () => {
    for (let seed = queue.shift(); seed !== undefined; seed = queue.shift()) {
      results.push(await runOne(seed, durationMs));
    }
  };
  await Promise.all(Array.from({ length: concurrency }, worker));
  return results.sort((left, right) => left.seed - right.seed);
}

async function main() {
  // Each child process of a fleet adds an exit listener to this process.
  process.setMaxListeners(0);
  const command = cac.cac('soak');
  const { options } = command.parse();
  const count = Number(options.seeds ?? 20);
  const first = Number(options.first ?? 1);
  const durationMs = Number(options.span ?? 20_000);
  const seeds = Array.from({ length: count }, (_, index) => first + index);
  const results = await runAll(seeds, durationMs, Number(options.beside ?? 1));
  const head = `seeds ${seeds.join(' ')}; faults for ${durationMs} ms a seed`;
  const text = [head, '', ...formatSummary(results), '', ...results.map(formatSeed), ''].join('\n');
  console.log(`\n${[head, ...formatSummary(results)].join('\n')}`);
  if (options.out !== undefined) await fs.writeFile(options.out, text);
  const isSuccess = results.every(
    ({ verdicts, error }) => error === undefined && verdicts.violationCount === 0,
  );
  process.exitCode = isSuccess ? 0 : 1;
}

await main();
