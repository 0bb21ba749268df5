/**
 * Reads jest's report and decides the verdict of a run: every test passes, but for those that
 * KNOWN-RED.txt lists by their full name. A listed test that passes fails the run, so that the
 * list stays exact.
 */
import * as fs from 'node:fs';

const [reportPath, knownRedPath] = process.argv.slice(2);
const report = JSON.parse(fs.readFileSync(reportPath, 'utf8'));
const knownRed = fs.existsSync(knownRedPath)
  ? fs.readFileSync(knownRedPath, 'utf8').split('\n')
  : [];
const namesAfter = (prefix) =>
  knownRed
    .filter((line) => line.startsWith(prefix))
    .map((line) => line.slice(prefix.length).trim());
const listed = namesAfter('test: ');
// Days of the users' bench are not run here; they are only printed.
const days = namesAfter('day: ');
// Tests that fail at times are printed too; a failure of theirs fails the run like any other.
const flaky = namesAfter('flaky: ');

const tests = report.testResults.flatMap((file) => file.assertionResults);
const failed = tests.filter((test) => test.status === 'failed').map((test) => test.fullName);
const passed = tests.filter((test) => test.status === 'passed').map((test) => test.fullName);
const unexpected = failed.filter((name) => !listed.includes(name));
const mended = listed.filter((name) => !failed.includes(name));
const unloadable = report.testResults.filter(
  (file) => file.status === 'failed' && file.assertionResults.length === 0,
);

listed.forEach((name) => console.log(`known red: ${name}`));
days.forEach((name) => console.log(`known red, by the users' bench: ${name}`));
flaky.forEach((name) => console.log(`fails at times: ${name}`));
unexpected.forEach((name) => console.log(`failed: ${name}`));
mended.forEach((name) => console.log(`listed as red but not failing: ${name}`));
unloadable.forEach((file) => console.log(`could not run: ${file.name}`));
const wrong = unexpected.length + mended.length + unloadable.length;
const ran = passed.length + failed.length;
console.log(`${passed.length} passed, ${wrong} failed`);
process.exitCode = wrong > 0 || ran === 0 ? 1 : 0;
