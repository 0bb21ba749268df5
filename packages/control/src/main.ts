#!/usr/bin/env node
import * as runCommandLine from './runCommandLine.js';

process.exitCode = await runCommandLine.runCommandLine(process.argv.slice(2), process.env, {
  write: (text) => process.stdout.write(text),
  writeError: (text) => process.stderr.write(text),
});
