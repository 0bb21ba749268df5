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
    const answer = await undici.request(platform.url + path);
    return { status: answer.statusCode, body: await answer.body.json() };
  }

  async function append(payload: string): Promise<unknown> {
    const answer = await undici.request(`${platform.url}/log/streams/s/records`, {
      method: 'POST',
      body: JSON.stringify({ payloads: [payload] }),
    });
    return answer.body.json();
  }

  test('wakes a waiting read with an append, and ends it with an outage', async () => {
    const read = get('/log/streams/s/records?from=0&waitMs=20000');
    await append('first');
    expect((await read).body).toMatchObject({ records: [{ offset: 0, payload: 'first' }] });
    const late = get('/log/streams/s/records?from=1&waitMs=20000');
    await get('/log/retention');
    platform.setFaults({ logOutage: true });
    expect((await late).status).toBe(503);
  });

  test('expires records by age and keeps their offsets used', async () => {
    await append('old');
    platform.setFaults({ retentionMs: 1 });
    await TIME.sleep(5);
    const expired = await get('/log/streams/s/records?from=0');
    expect(expired).toEqual({ status: 410, body: { firstOffset: 1 } });
    platform.setFaults({ retentionMs: null });
    expect(await append('new')).toEqual({ firstOffset: 1 });
    const kept = await get('/log/streams/s/records?from=1');
    expect(kept.body).toMatchObject({ firstOffset: 1, tailOffset: 2 });
  });

  test('shows the list of VMs late, or as it was when frozen', async () => {
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
