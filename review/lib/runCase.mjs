/* eslint import-x/extensions: off, import-x/prefer-default-export: off, no-await-in-loop: off, no-param-reassign: [error, { props: false }], no-restricted-syntax: off, no-use-before-define: [error, { functions: false }] -- as in the benchmarks */

import * as fs from 'node:fs';
import * as path from 'node:path';

const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;

/** Collects what was sent, answered and run, and writes it to a file. */
export class CaseRecord {
  constructor() {
    this.startedAt = Date.now();
    this.lines = [];
  }

  note(text) {
    const seconds = ((Date.now() - this.startedAt) / 1_000).toFixed(3);
    this.lines.push(`${seconds} s  ${text}`);
  }
}

/**
 * Runs a case and exits with its result.
 * @param directory The folder for `record.txt`.
 * @param play Plays the case. Resolves with the violations of the rule and with lines to print.
 */
export async function runCase(directory, play) {
  const record = new CaseRecord();
  process.on('uncaughtException', (error) => {
    console.error(error);
    process.exit(NOT_RUN);
  });
  const hasTrouble = process.env.TROUBLE !== '0';
  let exitCode = NOT_RUN;
  try {
    const { summary, violations } = await play({ record, hasTrouble });
    violations.forEach((violation) => record.lines.push(`BROKEN: ${violation}`));
    const result = violations.length > 0 ? 'the rule was broken' : 'the rule held';
    const closing = [...summary, `${result} (${violations.length} violations)`];
    closing.forEach((line) => record.lines.push(line));
    closing.forEach((line) => console.log(line));
    exitCode = violations.length > 0 ? BROKEN : HELD;
  } catch (error) {
    record.lines.push(`The case could not run: ${error.stack}`);
    console.error(error);
  }
  fs.writeFileSync(path.join(directory, 'record.txt'), `${record.lines.join('\n')}\n`);
  process.exit(exitCode);
}
