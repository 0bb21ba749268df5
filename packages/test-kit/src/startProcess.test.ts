import * as jestGlobals from '@jest/globals';
import * as undici from 'undici';

import * as startProcess from './startProcess.js';

const { describe, expect, test } = jestGlobals;

describe('startProcess', () => {
  test('starts a target, pauses and resumes it, and sees it crash', async () => {
    const target = await startProcess.startProcess({
      packageName: 'stand-ins',
      main: 'targetMain.js',
      arguments: ['engine', '--decode-ms-per-token', '0', '--checks-fencing'],
    });
    try {
      target.pause();
      const answer = undici.request(`${target.url}/v1/load`);
      const early = await Promise.race([answer, Promise.resolve('nothing')]);
      expect(early).toBe('nothing');
      target.resume();
      expect((await answer).statusCode).toBe(200);
      await undici.request(`http://${target.field('admin')}/admin/faults`, {
        method: 'POST',
        body: JSON.stringify({ crashOnText: 'poison' }),
      });
      const body = JSON.stringify({ messages: [{ role: 'user', content: 'poison' }] });
      const call = undici.request(`${target.url}/v1/chat/completions`, { method: 'POST', body });
      await expect(call).rejects.toThrow();
      expect(await target.exited).toEqual({ code: 70, signal: null });
    } finally {
      await target.dispose();
    }
  });

  test('ends on SIGTERM and tells a wrong command line from a listening process', async () => {
    const platform = await startProcess.startProcess({
      packageName: 'stand-ins',
      main: 'platformMain.js',
    });
    platform.kill('SIGTERM');
    expect(await platform.exited).toEqual({ code: 0, signal: null });
    const wrong = startProcess.startProcess({
      packageName: 'stand-ins',
      main: 'platformMain.js',
      arguments: ['--no-such-option'],
    });
    await expect(wrong).rejects.toThrow(/ended before it listened/);
  });
});
