/** Collects the points of slopes and prints them with their lines. */
import * as fs from 'node:fs';
import * as os from 'node:os';

import * as fit from './fit.mjs';

const DIGITS = 4;

function shown(value) {
  return Number(value.toPrecision(DIGITS)).toString();
}

/** The slopes of one run, by name, in the order of their first points. */
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
    process.stderr.write(`  ${name} at ${shown(x)}: ${shown(y)} ${unitY}\n`);
  }

  /** Notes on the error stream that a step begins, and under which load of the machine. */
  note(step) {
    const [load] = os.loadavg();
    const seconds = Math.round((Date.now() - this.startedAt) / 1000);
    process.stderr.write(`${seconds} s: ${step} (load average ${load.toFixed(1)})\n`);
    this.loads.push(load);
  }

  /** Notes that a measurement broke off; its points so far stay. */
  fail(name, error) {
    this.failures.push(`${name}: ${String(error)}`);
    process.stderr.write(`  failed: ${String(error)}\n`);
  }

  /** Prints one row for each slope, and what failed. */
  print() {
    const [model] = os.cpus();
    const node = process.version;
    const kernel = fs.readFileSync('/proc/sys/kernel/osrelease', 'utf8').trim();
    const loads = this.loads.map((load) => load.toFixed(1)).join(', ');
    console.log(`Node.js ${node}, Linux ${kernel}, ${os.cpus().length} x ${model.model}`);
    console.log(`Load averages of the machine at the beginnings of the steps: ${loads}`);
    console.log('');
    console.log('| name | slope | intercept | R2 | points (x: y) |');
    console.log('| --- | --- | --- | --- | --- |');
    this.slopes.forEach(({ unitY, unitX, points }, name) => {
      const list = points.map(({ x, y }) => `${shown(x)}: ${shown(y)}`).join(', ');
      if (points.length < fit.LEAST_POINTS) {
        console.log(`| ${name} | not enough points | | | ${list} |`);
        return;
      }
      const { slope, intercept, r2 } = fit.fitLine(points);
      const line = `${shown(slope)} ${unitY} / ${unitX} | ${shown(intercept)} ${unitY}`;
      console.log(`| ${name} | ${line} | ${r2.toFixed(3)} | ${list} |`);
    });
    this.failures.forEach((failure) => console.log(`FAILED ${failure}`));
  }
}
