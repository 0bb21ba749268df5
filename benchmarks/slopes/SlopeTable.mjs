/** Collects measured points and prints them with the lines that are fitted to them. */
import * as fs from 'node:fs';
import * as os from 'node:os';

import * as fit from './fit.mjs';

const SIGNIFICANT_DIGITS = 4;

function format(value) {
  return Number(value.toPrecision(SIGNIFICANT_DIGITS)).toString();
}

/** Holds the slopes of one run by name, in the order of their first points. */
export class SlopeTable {
  constructor() {
    this.slopes = new Map();
    this.startedAt = Date.now();
    this.loads = [];
    this.failures = [];
  }

  /** Adds a point: `y` in `unitY` at `x` in `unitX`. */
  add(name, unitY, unitX, x, y) {
    const slope = this.slopes.get(name) ?? { unitY, unitX, points: [] };
    slope.points.push({ x, y });
    this.slopes.set(name, slope);
    process.stderr.write(`  ${name} at ${format(x)}: ${format(y)} ${unitY}\n`);
  }

  /** Prints the start of a step and the load average of the machine on stderr. */
  note(step) {
    const [load] = os.loadavg();
    const seconds = Math.round((Date.now() - this.startedAt) / 1000);
    process.stderr.write(`${seconds} s: ${step} (load average ${load.toFixed(1)})\n`);
    this.loads.push(load);
  }

  /** Records that a measurement failed. The points that it has added remain. */
  fail(name, error) {
    this.failures.push(`${name}: ${String(error)}`);
    process.stderr.write(`  failed: ${String(error)}\n`);
  }

  /** Prints one row for each slope, then the failures. */
  print() {
    const [model] = os.cpus();
    const node = process.version;
    const kernel = fs.readFileSync('/proc/sys/kernel/osrelease', 'utf8').trim();
    const loads = this.loads.map((load) => load.toFixed(1)).join(', ');
    console.log(`Node.js ${node}, Linux ${kernel}, ${os.cpus().length} x ${model.model}`);
    console.log(`Load averages of the machine at the start of each step: ${loads}`);
    console.log('');
    console.log('| name | slope | intercept | R2 | points (x: y) |');
    console.log('| --- | --- | --- | --- | --- |');
    this.slopes.forEach(({ unitY, unitX, points }, name) => {
      const list = points.map(({ x, y }) => `${format(x)}: ${format(y)}`).join(', ');
      if (points.length < fit.MINIMUM_POINTS) {
        console.log(`| ${name} | not enough points | | | ${list} |`);
        return;
      }
      const { slope, intercept, r2 } = fit.fitLine(points);
      const line = `${format(slope)} ${unitY} / ${unitX} | ${format(intercept)} ${unitY}`;
      console.log(`| ${name} | ${line} | ${r2.toFixed(3)} | ${list} |`);
    });
    this.failures.forEach((failure) => console.log(`FAILED ${failure}`));
  }
}
