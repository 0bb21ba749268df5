import type * as testKit from '@limpettack/test-kit';

import type * as runRecorder from './RunRecorder.js';

const STATUS_OK = 200;

/**
 * Compares the executions of the services with the responses that the callers got, and records
 * each violated guarantee.
 */
export async function checkExecutions(
  fleet: testKit.Fleet,
  recorder: runRecorder.RunRecorder,
): Promise<void> {
  const services = fleet.targets.filter(
    ({ row, target }) => row.kind === 'service' && target.process.isRunning,
  );
  const counts = await Promise.all(services.map(({ target }) => target.executions()));
  const executions = new Map<string, number>();
  counts
    .flatMap(({ byKey }) => Object.entries(byKey))
    .forEach(([key, count]) => executions.set(key, (executions.get(key) ?? 0) + count));
  executions.forEach((count, key) => {
    if (count < 2) return;
    recorder.addBreach({ promise: 'at-most-once', detail: `${key} was executed ${count} times` });
  });
  const hasAllServices = services.length === countServices(fleet);
  responsesByKey(recorder).forEach((responses, key) => {
    const isExecuted = executions.has(key);
    if (isExecuted && responses.every(({ run }) => run === 'not-run')) {
      const detail = `${key} was executed and only refused as not run`;
      recorder.addBreach({ promise: 'true-refusal', detail });
    }
    if (!isExecuted && hasAllServices && responses.some(({ status }) => status === STATUS_OK)) {
      const detail = `${key} was answered and not executed`;
      recorder.addBreach({ promise: 'whole-answer', detail });
    }
  });
}

function countServices(fleet: testKit.Fleet): number {
  return fleet.targets.filter(({ row }) => row.kind === 'service').length;
}

function responsesByKey(recorder: runRecorder.RunRecorder) {
  const byKey = new Map<string, { status: number; run: string | undefined }[]>();
  recorder.calls.forEach(({ idempotencyKey, run, status }) => {
    if (idempotencyKey === undefined) return;
    const responses = byKey.get(idempotencyKey) ?? [];
    responses.push({ status, run });
    byKey.set(idempotencyKey, responses);
  });
  return byKey;
}
