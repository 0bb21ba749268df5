import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as undici from 'undici';

import * as platformProcess from './PlatformProcess.js';
import * as startProcess from './startProcess.js';
import * as targetProcess from './TargetProcess.js';

const { describe, expect, test } = jestGlobals;

const TIME = new clock.SystemClock();
const PAUSE_MS = 100;

describe('startProcess', () => {
  test('starts, pauses and resumes a target and reports its crash', async () => {
    const target = await targetProcess.startTarget('engine', {
      'decode-ms-per-token': 0,
      'checks-fencing': true,
    });
    try {
      target.process.pause();
      const response = undici.request(`http://${target.address}/v1/load`);
      const earlyResult = await Promise.race([
        response,
        TIME.sleep(PAUSE_MS).then(() => 'nothing'),
      ]);
      expect(earlyResult).toBe('nothing');
      target.process.resume();
      expect((await response).statusCode).toBe(200);
      await target.setFaults({ crashOnText: 'poison' });
      const body = JSON.stringify({ messages: [{ role: 'user', content: 'poison' }] });
      const call = undici.request(`http://${target.address}/v1/chat/completions`, {
        method: 'POST',
        body,
      });
      await expect(call).rejects.toThrow();
      expect(await target.process.exited).toEqual({ code: 70, signal: null });
    } finally {
      await target.dispose();
    }
  });

  test('a process exits on SIGTERM, and a wrong command line fails the start', async () => {
    const platform = await platformProcess.startPlatform({ 'appends-per-second': 100 });
    expect(await platform.counts()).toEqual({});
    platform.process.kill('SIGTERM');
    expect(await platform.process.exited).toEqual({ code: 0, signal: null });
    const wrong = startProcess.startProcess({
      packageName: 'stand-ins',
      main: 'platformMain.js',
      arguments: ['--no-such-option'],
    });
    await expect(wrong).rejects.toThrow(/ended before it listened/);
  });
});
