/**
 * Runs the platform's program in real processes against a fake store and fake targets, under load
 * and a random schedule of faults, and prints which promises were violated.
 *
 * npm run platform-soak -- --seeds 20 [--first 1] [--span 10000] [--vms 4] [--memory 200] [--rate 5]
 *   [--calm]
 *
 * A process that uses more than `--memory` MB of resident memory is killed, as on the platform, and
 * each process that ends without a fault is restarted; each such end is a violation. `--rate` is the
 * number of retained turns of the traffic, per second and VM; the users' sites send about 22. With
 * `--calm` no fault is injected.
 */
import * as cac from 'cac';
import * as verdictsModule from '../soak/Verdicts.mjs';
import * as run from './runSeed.mjs';

const SHOWN_CHARACTERS = 500;

async function runOne(seed, options) {
  const verdicts = new verdictsModule.Verdicts();
  const { events } = await run.runSeed(seed, options, verdicts);
  console.log(`seed ${seed}: ${verdicts.violationCount} violations`);
  verdicts.rows.forEach(({ checks, violations }, promise) => {
    if (checks > 0) console.log(`  ${promise}: ${checks} checks, ${violations.length} violated`);
    violations.forEach((text) => console.log(`    ${text.slice(0, SHOWN_CHARACTERS)}`));
  });
  [...verdicts.figures].sort().forEach(([name, value]) => console.log(`  ${name}: ${value}`));
  if (verdicts.violationCount > 0) events.forEach((event) => console.log(`    ${event}`));
  return verdicts.violationCount;
}

async function main() {
  const { options } = cac.cac('platform-soak').parse();
  const first = Number(options.first ?? 1);
  let violations = 0;
  for (let seed = first; seed < first + Number(options.seeds ?? 20); seed += 1) {
    violations += await runOne(seed, {
      durationMs: Number(options.span ?? 10_000),
      hasFaults: options.calm !== true,
      memoryMb: Number(options.memory ?? 200),
      turnsPerSecond: Number(options.rate ?? 5),
      vmCount: Number(options.vms ?? 4),
    });
  }
  process.exitCode = violations === 0 ? 0 : 1;
}

await main();
