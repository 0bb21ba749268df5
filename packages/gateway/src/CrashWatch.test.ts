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

/** Messages that the watches have sent. */
let sentCount = 0;

const watches: lifetime.Disposable[] = [];

afterEach(async () => {
  await Promise.all(watches.splice(0).map((watch) => watch.dispose()));
});

describe('CrashWatch', () => {
  test('a request is refused on all VMs once three targets have died of it', async () => {
    const [first, second] = createFleet(2);
    const poison = createContext('poison');
    ['one', 'two', 'three'].forEach((id) => die(first!, poison, id));
    await newsSettle();
    expect(first!.isRefused(poison)).toBe(true);
    expect(second!.isRefused(poison)).toBe(true);
    expect(second!.isRefused(createContext('other'))).toBe(false);
  });

  test('deaths that different VMs saw count together', async () => {
    const fleet = createFleet(3);
    const poison = createContext('poison');
    for (const [index, id] of ['one', 'two', 'three'].entries()) {
      die(fleet[index]!, poison, id);
      await newsSettle();
    }
    expect(fleet.map((watch) => watch.isRefused(poison))).toEqual([true, true, true]);
  });

  test('a broken connection costs as many messages in a large fleet as in a small one', async () => {
    const fleet = createFleet(200);
    sentCount = 0;
    fleet.forEach((watch, index) => die(watch, createContext(`request-${index}`), 'one'));
    await newsSettle();
    expect(sentCount).toBeLessThanOrEqual(2 * fleet.length);
    // A request that is really refused is told to all.
    const poison = createContext('poison');
    for (const [index, id] of ['one', 'two', 'three'].entries()) {
      die(fleet[index]!, poison, id);
      await newsSettle();
    }
    for (let settled = 0; settled < 20; settled += 1) await newsSettle();
    expect(fleet.every((watch) => watch.isRefused(poison))).toBe(true);
  });

  test('one target that dies again and again refuses nothing', () => {
    const [watch] = createFleet(1);
    const request = createContext('request');
    for (let death = 0; death < 5; death += 1) die(watch!, request, 'one');
    expect(watch!.isRefused(request)).toBe(false);
  });

  test('a request that a target has run to its end is not suspected any more', () => {
    const [watch] = createFleet(1);
    const request = createContext('request');
    ['one', 'two'].forEach((id) => die(watch!, request, id));
    watch!.noteCompleted(request);
    ['three', 'four'].forEach((id) => die(watch!, request, id));
    expect(watch!.isRefused(request)).toBe(false);
  });
});

/** Watches that hear each other at once. */
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

function die(watch: crashWatch.CrashWatch, context: callContext.CallContext, target: string): void {
  watch.noteDeath(context, fixtures.createTarget(target), new clock.SystemClock().now());
}

function newsSettle(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}
