#!/usr/bin/env node
import * as runCommandLine from './runCommandLine.js';

const shutdown = new AbortController();
process.once('SIGTERM', () => shutdown.abort());
process.once('SIGINT', () => shutdown.abort());

const result = await runCommandLine.runCommandLine(process.argv.slice(2), shutdown.signal);
if (result.text !== undefined)
  process.stdout.write(`${result.text}
`);
if (result.error !== undefined)
  process.stderr.write(`${result.error}
`);
process.exitCode = result.exitCode;
