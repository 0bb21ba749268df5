import * as jestGlobals from '@jest/globals';
import * as standIns from '@limpettack/stand-ins';
import * as undici from 'undici';

import * as fleetTables from './fleetTables.js';
import * as startFleet from './startFleet.js';

const { describe, expect, test } = jestGlobals;

describe('startFleet', () => {
  test('starts a fleet that answers a model call and a service call', async () => {
    const fleet = await startFleet.startFleet({
      vms: 2,
      failureDomains: ['kochi', 'thrissur'],
      proxies: { peers: true, platform: true, targets: true },
      settings: { journal: { shardCount: 4 } },
    });
    try {
      const messages = [{ role: 'user', content: 'one two' }];
      const post = (path: string, body: unknown): Promise<undici.Dispatcher.ResponseData> =>
        undici.request(fleet.vm(0).url + path, {
          method: 'POST',
          headers: {
            authorization: `Bearer ${fleetTables.FLEET_NAMES.KEY}`,
            'content-type': 'application/json',
            'idempotency-key': 'k1',
          },
          body: JSON.stringify(body),
        });
      const chat = await post('/v1/chat/completions', {
        model: fleetTables.FLEET_NAMES.MODEL_ROUTE,
        messages,
        max_tokens: 4,
      });
      expect(await chat.body.json()).toMatchObject({
        choices: [{ message: { content: standIns.expectedText(messages, 4) } }],
      });
      const action = await post(`/v1/services/${fleetTables.FLEET_NAMES.ACTION_ROUTE}/reserve`, {});
      expect(await action.body.json()).toMatchObject({ executionNumber: 1 });
      const service = fleet.target('service-1').target;
      expect((await service.executions()).total).toBe(1);
      expect(JSON.stringify(await service.journal())).not.toContain(fleetTables.FLEET_NAMES.KEY);
      await fleet.vm(1).restart();
      await fleet.untilReady([fleet.vm(1)]);
    } finally {
      await fleet.dispose();
    }
  });
});
