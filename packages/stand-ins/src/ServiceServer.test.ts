import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as undici from 'undici';

import * as serviceServer from './ServiceServer.js';

const { afterEach, beforeEach, describe, expect, test } = jestGlobals;

const TIME = new clock.SystemClock();

describe('ServiceServer', () => {
  let service: serviceServer.ServiceServer;

  beforeEach(async () => {
    service = new serviceServer.ServiceServer(TIME);
    await service.start();
  });

  afterEach(() => service.dispose());

  function reserve(): Promise<undici.Dispatcher.ResponseData> {
    return undici.request(`${service.url}/reserve?lens=50`, {
      method: 'POST',
      headers: { 'idempotency-key': 'k1' },
      body: 'lens',
    });
  }

  test('executes each call, also when its response is lost, and returns the outcome', async () => {
    await service.host.setFaults({ loseAnswers: 1 });
    await expect(reserve()).rejects.toThrow();
    const second = await reserve();
    expect(await second.body.json()).toMatchObject({ executionNumber: 2, body: 'lens' });
    expect(service.executions.get('k1')).toBe(2);
    const outcome = await undici.request(`${service.url}/outcomes/k1`);
    expect(await outcome.body.json()).toMatchObject({ executionNumber: 2 });
    const unknown = await undici.request(`${service.url}/outcomes/k2`);
    expect(unknown.statusCode).toBe(404);
    expect(service.host.journal(0, '/reserve').map((entry) => entry.outcome)).toEqual([
      'dropped',
      'finished',
    ]);
  });

  test('refuses connections, then listens again on the same port', async () => {
    await service.host.setFaults({ refuse: true });
    await expect(reserve()).rejects.toThrow(/ECONNREFUSED/);
    await undici.request(`http://${service.host.adminAddress}/admin/faults`, {
      method: 'POST',
      body: JSON.stringify({ refuse: false, status: 500 }),
    });
    expect((await reserve()).statusCode).toBe(500);
    expect(service.executions.size).toBe(0);
  });
});
