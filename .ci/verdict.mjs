/**
 * Reads the report of jest and decides whether the run passes: every test must pass, except those
 * that KNOWN-RED.txt lists by their full name. A listed test that does not fail makes the run fail,
 * so that the list stays exact.
 */
import * as fs from 'node:fs';

const [reportPath, knownRedPath] = process.argv.slice(2);
const report = JSON.parse(fs.readFileSync(reportPath, 'utf8'));
const knownRed = fs.existsSync(knownRedPath)
  ? fs.readFileSync(knownRedPath, 'utf8').split('\n')
  : [];
const listNames = (prefix) =>
  knownRed
    .filter((line) => line.startsWith(prefix))
    .map((line) => line.slice(prefix.length).trim());
const expectedFailures = listNames('test: ');
// Failing days (fault schedules) of the users' bench. They are not run here, only printed.
const days = listNames('day: ');
// Flaky tests are printed too. Their failures make the run fail like those of any other test.
const flaky = listNames('flaky: ');

const tests = report.testResults.flatMap((file) => file.assertionResults);
const failed = tests.filter((test) => test.status === 'failed').map((test) => test.fullName);
const passed = tests.filter((test) => test.status === 'passed').map((test) => test.fullName);
const unexpected = failed.filter((name) => !expectedFailures.includes(name));
const notFailing = expectedFailures.filter((name) => !failed.includes(name));
const unloadable = report.testResults.filter(
  (file) => file.status === 'failed' && file.assertionResults.length === 0,
);

expectedFailures.forEach((name) => console.log(`known red: ${name}`));
days.forEach((name) => console.log(`known red, by the users' bench: ${name}`));
flaky.forEach((name) => console.log(`fails at times: ${name}`));
unexpected.forEach((name) => console.log(`failed: ${name}`));
notFailing.forEach((name) => console.log(`listed as red but not failing: ${name}`));
unloadable.forEach((file) => console.log(`could not run: ${file.name}`));
const failureCount = unexpected.length + notFailing.length + unloadable.length;
const executedCount = passed.length + failed.length;
console.log(`${passed.length} passed, ${failureCount} failed`);
process.exitCode = failureCount > 0 || executedCount === 0 ? 1 : 0;
