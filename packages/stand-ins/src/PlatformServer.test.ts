import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as undici from 'undici';

import * as platformServer from './PlatformServer.js';

const { afterEach, beforeEach, describe, expect, test } = jestGlobals;

const TIME = new clock.SystemClock();

describe('PlatformServer', () => {
  let platform: platformServer.PlatformServer;

  beforeEach(async () => {
    platform = new platformServer.PlatformServer(TIME);
    await platform.start();
  });

  afterEach(() => platform.dispose());

  async function get(path: string): Promise<{ status: number; body: unknown }> {
    const response = await undici.request(platform.url + path);
    return { status: response.statusCode, body: await response.body.json() };
  }

  async function append(payload: string): Promise<unknown> {
    const response = await undici.request(`${platform.url}/log/streams/s/records`, {
      method: 'POST',
      body: JSON.stringify({ payloads: [payload] }),
    });
    return response.body.json();
  }

  test('completes a waiting read on an append, and fails it on an outage', async () => {
    const read = get('/log/streams/s/records?from=0&waitMs=20000');
    await append('first');
    expect((await read).body).toMatchObject({ records: [{ offset: 0, payload: 'first' }] });
    const waitingRead = get('/log/streams/s/records?from=1&waitMs=20000');
    await get('/log/retention');
    platform.setFaults({ logOutage: true });
    expect((await waitingRead).status).toBe(503);
  });

  test('expires records by age and does not reuse their offsets', async () => {
    await append('old');
    platform.setFaults({ retentionMs: 1 });
    await TIME.sleep(5);
    const expired = await get('/log/streams/s/records?from=0');
    expect(expired).toEqual({ status: 410, body: { firstOffset: 1 } });
    platform.setFaults({ retentionMs: null });
    expect(await append('new')).toEqual({ firstOffset: 1 });
    const retained = await get('/log/streams/s/records?from=1');
    expect(retained.body).toMatchObject({ firstOffset: 1, tailOffset: 2 });
  });

  test('reports the list of VMs with a lag, and unchanged while it is frozen', async () => {
    const vm = (name: string): Parameters<typeof platform.setVms>[0] => [
      { name, address: '127.0.0.1:1', failureDomain: 'kochi', leaving: false },
    ];
    platform.setVms(vm('first'));
    platform.setFaults({ vmListLagMs: 60_000 });
    platform.setVms(vm('second'));
    expect((await get('/vms')).body).toMatchObject({ vms: [{ name: 'first' }] });
    platform.setFaults({ vmListFrozen: true });
    platform.setFaults({ vmListLagMs: 0 });
    expect((await get('/vms')).body).toMatchObject({ vms: [{ name: 'first' }] });
    platform.setFaults({ vmListFrozen: false });
    expect((await get('/vms')).body).toMatchObject({ vms: [{ name: 'second' }] });
  });
});
