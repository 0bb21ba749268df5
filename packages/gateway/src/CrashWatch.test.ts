import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import type * as lifetime from '@limpettack/lifetime';
import * as logging from '@limpettack/logging';
import type * as membership from '@limpettack/membership';
import type * as wire from '@limpettack/wire';
import * as callContext from './CallContext.js';
import * as crashWatch from './CrashWatch.js';
import * as fixtures from './testing/gatewayFixtures.js';

const { afterEach, describe, expect, test } = jestGlobals;

/** Number of messages that the watches have sent. */
let sentCount = 0;

const watches: lifetime.Disposable[] = [];

afterEach(async () => {
  await Promise.all(watches.splice(0).map((watch) => watch.dispose()));
});

describe('CrashWatch', () => {
  test('a request is refused on all VMs once it has crashed three targets', async () => {
    const [first, second] = createFleet(2);
    const poison = createContext('poison');
    ['one', 'two', 'three'].forEach((id) => reportCrash(first!, poison, id));
    await settleMessages();
    expect(first!.isRefused(poison)).toBe(true);
    expect(second!.isRefused(poison)).toBe(true);
    expect(second!.isRefused(createContext('other'))).toBe(false);
  });

  test('crashes that different VMs observed are counted together', async () => {
    const fleet = createFleet(3);
    const poison = createContext('poison');
    for (const [index, id] of ['one', 'two', 'three'].entries()) {
      reportCrash(fleet[index]!, poison, id);
      await settleMessages();
    }
    expect(fleet.map((watch) => watch.isRefused(poison))).toEqual([true, true, true]);
  });

  test('the number of messages for a broken connection does not grow with the fleet', async () => {
    const fleet = createFleet(200);
    sentCount = 0;
    fleet.forEach((watch, index) => reportCrash(watch, createContext(`request-${index}`), 'one'));
    await settleMessages();
    expect(sentCount).toBeLessThanOrEqual(2 * fleet.length);
    // The quarantine of a request is announced to all VMs.
    const poison = createContext('poison');
    for (const [index, id] of ['one', 'two', 'three'].entries()) {
      reportCrash(fleet[index]!, poison, id);
      await settleMessages();
    }
    for (let settled = 0; settled < 20; settled += 1) await settleMessages();
    expect(fleet.every((watch) => watch.isRefused(poison))).toBe(true);
  });

  test('repeated crashes of a single target do not quarantine a request', () => {
    const [watch] = createFleet(1);
    const request = createContext('request');
    for (let death = 0; death < 5; death += 1) reportCrash(watch!, request, 'one');
    expect(watch!.isRefused(request)).toBe(false);
  });

  test('a request that a target has completed is no longer suspected', () => {
    const [watch] = createFleet(1);
    const request = createContext('request');
    ['one', 'two'].forEach((id) => reportCrash(watch!, request, id));
    watch!.recordCompletion(request);
    ['three', 'four'].forEach((id) => reportCrash(watch!, request, id));
    expect(watch!.isRefused(request)).toBe(false);
  });
});

/** Creates watches whose messages to each other arrive at once. */
function createFleet(count: number): crashWatch.CrashWatch[] {
  const handlers = new Map<string, (request: unknown, from: unknown) => unknown>();
  const members = Array.from({ length: count }, (_, index) => ({
    name: `vm-${index}`,
    address: `vm-${index}`,
  }));
  return members.map((self) => {
    const network = {
      self,
      serve: (method: { name: string }, handler: (request: unknown, from: unknown) => unknown) => {
        handlers.set(`${self.address} ${method.name}`, handler);
        return { dispose: () => undefined };
      },
      request: async (address: string, method: { name: string }, request: unknown) => {
        sentCount += 1;
        return handlers.get(`${address} ${method.name}`)?.(request, self);
      },
    } as unknown as wire.PeerNetwork;
    const watch = new crashWatch.CrashWatch({
      network,
      membership: { available: () => members as unknown as readonly membership.Member[] },
      clock: new clock.SystemClock(),
      logger: new logging.PartLogger('test'),
    });
    watches.push(watch);
    return watch;
  });
}

function createContext(body: string): callContext.CallContext {
  const call = fixtures.createCall(new clock.SystemClock(), { body: Buffer.from(body) });
  return new callContext.CallContext(call, fixtures.createRoute(), undefined);
}

function reportCrash(
  watch: crashWatch.CrashWatch,
  context: callContext.CallContext,
  target: string,
): void {
  watch.recordCrash(context, fixtures.createTarget(target), new clock.SystemClock().now());
}

function settleMessages(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}
