#!/usr/bin/env node
import * as fs from 'node:fs/promises';
import * as path from 'node:path';

import * as cac from 'cac';

import * as experiments from './runExperiment.js';
import * as parseFault from './parseFault.js';
import * as plotPage from './plotPage.js';
import * as runScenario from './runScenario.js';
import * as scenarios from './scenarios.js';
import * as summarize from './summarize.js';

const EXIT_BREACHED = 2;

interface RunFlags {
  readonly policy: string;
  readonly seed: number;
  readonly json?: string;
  readonly page?: string;
  readonly fault?: string | readonly string[];
}

interface ExperimentFlags {
  readonly examples: string;
  readonly seeds: number;
  readonly output?: string;
}

const command = cac.cac('limpettack-load');

command
  .command('run <scenario>', 'Run a scenario once and judge its outcome from outside')
  .option('--policy <name>', 'scheduling policy of the VMs', { default: 'fair' })
  .option('--seed <number>', 'seed of the arrivals', { default: 1 })
  .option('--fault <fault>', 'add a fault, as KIND:NAME@MS, such as kill-vm:vm-2@2000')
  .option('--json <file>', 'write the result as JSON')
  .option('--page <file>', 'write one HTML page with plots')
  .action(runOnce);

command
  .command('experiment <installation>', 'Compare the policies on examples/INSTALLATION')
  .option('--examples <directory>', 'directory of the installations', { default: 'examples' })
  .option('--seeds <count>', 'seeds of the arrivals, from 1', { default: 5 })
  .option('--output <directory>', 'write NAME.txt, NAME.json and NAME.html there')
  .action(runExperiment);

command.help();
command.parse(process.argv, { run: false });
await command.runMatchedCommand();

async function runOnce(file: string, flags: RunFlags): Promise<void> {
  const read = await scenarios.readScenario(file);
  const added = [flags.fault ?? []].flat().map(parseFault.parseFault);
  const scenario = { ...read, faults: [...read.faults, ...added] };
  const options = { policy: flags.policy, seed: flags.seed };
  const record = await runScenario.runScenario(scenario, options);
  const arrivals = runScenario.arrivalsOf(scenario, options);
  const summary = summarize.summarize(scenario, arrivals, record);
  process.stdout.write(`${JSON.stringify(summary, undefined, 2)}\n`);
  if (flags.json !== undefined) {
    await fs.writeFile(flags.json, `${JSON.stringify({ options, summary, record })}\n`);
  }
  if (flags.page !== undefined) {
    await fs.writeFile(flags.page, plotPage.runPage(scenario.name, summary, record));
  }
  if (summary.breaches.length > 0) process.exitCode = EXIT_BREACHED;
}

async function runExperiment(installation: string, flags: ExperimentFlags): Promise<void> {
  const file = path.join(flags.examples, installation, 'scenario.yaml');
  const scenario = await scenarios.readScenario(file);
  const result = await experiments.runExperiment(scenario, flags.seeds, (line) => {
    process.stderr.write(`${line}\n`);
  });
  process.stdout.write(result.text);
  if (result.breaches > 0) process.exitCode = EXIT_BREACHED;
  if (flags.output === undefined) return;
  await fs.mkdir(flags.output, { recursive: true });
  const base = path.join(flags.output, installation);
  await fs.writeFile(`${base}.txt`, result.text);
  await fs.writeFile(`${base}.json`, `${JSON.stringify(result.runs)}\n`);
  await fs.writeFile(`${base}.html`, plotPage.experimentPage(scenario.name, result.runs));
}
