import * as clock from '@limpettack/clock';
import * as jestGlobals from '@jest/globals';
import type { ConfigurationChange } from './Types.js';
import * as configurationPublisher from './ConfigurationPublisher.js';
import * as createTables from './testing/createTables.js';
import * as fakeLog from './testing/FakeLog.js';

const { describe, expect, test } = jestGlobals;

function createPublisher(log: fakeLog.FakeLog, isCutOff?: () => boolean) {
  return new configurationPublisher.ConfigurationPublisher({
    log: log.createClient(isCutOff),
    stream: 'configuration',
    clock: new clock.SystemClock(),
    random: () => 0,
    timeoutMs: 400,
  });
}

function createRequest(basedOn: number, change: ConfigurationChange, id = 'mine') {
  return { id, basedOn, author: 'ana', change };
}

const REMOVE_INFO: ConfigurationChange = { kind: 'removeRoute', name: 'info' };

function createLog(): fakeLog.FakeLog {
  const log = new fakeLog.FakeLog();
  log.push(createTables.createEdit(0, createTables.createTablesChange()));
  return log;
}

describe('ConfigurationPublisher', () => {
  test('applies an edit once when the response to its append is lost', async () => {
    const log = createLog();
    log.responsesToLose = 1;
    const result = await createPublisher(log).publish(createRequest(1, REMOVE_INFO));
    expect(result).toMatchObject({ value: { kind: 'applied', version: 2 } });
    expect(log.payloads).toHaveLength(2);
    const again = await createPublisher(log).publish(createRequest(1, REMOVE_INFO));
    expect(again).toMatchObject({ value: { kind: 'applied', version: 2 } });
    expect(log.payloads).toHaveLength(2);
  });

  test('applies one of two concurrent edits and reports it to the other operator', async () => {
    const log = createLog();
    const results = await Promise.all(
      ['one', 'two'].map((id) => createPublisher(log).publish(createRequest(1, REMOVE_INFO, id))),
    );
    expect(results).toMatchObject([
      { value: { kind: 'applied', version: 2 } },
      { value: { kind: 'conflict', version: 2, earlier: [{ edit: { id: 'one' } }] } },
    ]);
  });

  test('does not append an edit that fails the checks', async () => {
    const log = createLog();
    const change: ConfigurationChange = { kind: 'removePool', name: 'agents' };
    const result = await createPublisher(log).publish(createRequest(1, change));
    expect(result).toMatchObject({ value: { kind: 'invalid' } });
    expect(log.payloads).toHaveLength(1);
  });

  test('retries during a short outage and reports a long one', async () => {
    const log = createLog();
    let failures = 2;
    const shortOutage = (): boolean => {
      failures -= 1;
      return failures >= 0;
    };
    const result = await createPublisher(log, shortOutage).publish(createRequest(1, REMOVE_INFO));
    expect(result).toMatchObject({ value: { kind: 'applied' } });
    const failed = await createPublisher(log, () => true).publish(createRequest(2, REMOVE_INFO));
    expect(failed).toMatchObject({ error: { maybeApplied: false } });
  });
});
