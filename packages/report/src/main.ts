#!/usr/bin/env node
import * as runCommandLine from './runCommandLine.js';

const ending = new AbortController();
process.once('SIGTERM', () => ending.abort());
process.once('SIGINT', () => ending.abort());

const result = await runCommandLine.runCommandLine(process.argv.slice(2), ending.signal);
if (result.text !== undefined)
  process.stdout.write(`${result.text}
`);
if (result.error !== undefined)
  process.stderr.write(`${result.error}
`);
process.exitCode = result.exitCode;
