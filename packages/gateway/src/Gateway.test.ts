import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as trueMyth from 'true-myth';
import * as routeKinds from './RouteKinds.js';
import * as sendFailures from './SendFailures.js';
import * as fixtures from './testing/gatewayFixtures.js';
import * as standIns from './testing/gatewayStandIns.js';
import * as recordedReply from './testing/RecordedReply.js';
import * as scriptedTransport from './testing/ScriptedTransport.js';

const { describe, expect, test } = jestGlobals;

const STREAM = { kind: routeKinds.ROUTE_KINDS.STREAM };

/** The time of the requests. */
const PATIENCE_MS = 1_000;

/** How far the clock moves at a time. */
const STEP_MS = 10;

describe('Gateway', () => {
  test('the wait for the record of a budget ends with its turn and leaves no tokens set aside', async () => {
    const time = new clock.ManualClock();
    const full = Array.from({ length: 200 }, () =>
      fixtures.fail(sendFailures.SEND_FAILURES.NOT_RUN),
    );
    const transport = new scriptedTransport.ScriptedTransport(full);
    const { budgets, gateway } = standIns.createGateway(transport, STREAM, { clock: time });
    budgets.answer = async () => trueMyth.Result.ok({ isCovered: false });
    budgets.tellCovered = () => time.sleep(150).then(() => false);
    const reply = new recordedReply.RecordedReply();
    const call = fixtures.createCall(time, standIns.turnOf('program'));
    const handled = gateway.handle(call, reply);
    await advance(time, PATIENCE_MS / 2 + 50);
    await handled;
    expect(reply.fault?.kind).toBe('target-unavailable');
    const asked = budgets.coverCount;
    await advance(time, PATIENCE_MS);
    expect(budgets.coverCount).toBe(asked);
    expect(budgets.open.size).toBe(0);
    expect(budgets.settled.every(({ tokens }) => tokens === 0)).toBe(true);
  });
});

/** Moves the clock on; what is due runs before it moves further. */
async function advance(time: clock.ManualClock, spanMs: clock.Milliseconds): Promise<void> {
  for (let passed = 0; passed < spanMs; passed += STEP_MS) {
    time.advance(STEP_MS);
    await eventsSettle();
  }
}

/** Lets the events that are due run. */
async function eventsSettle(): Promise<void> {
  for (let turn = 0; turn < 3; turn += 1) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}
