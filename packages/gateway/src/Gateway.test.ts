import * as jestGlobals from '@jest/globals';
import type * as metrics from '@limpettack/metrics';
import type * as turns from '@limpettack/turns';
import * as trueMyth from 'true-myth';
import * as gateway from './Gateway.js';
import * as routeKinds from './RouteKinds.js';
import * as tablesHolder from './TablesHolder.js';
import * as fixtures from './testing/gatewayFixtures.js';
import * as recordedReply from './testing/RecordedReply.js';
import * as scriptedTransport from './testing/ScriptedTransport.js';
import type { Route } from './Types.js';

const { describe, expect, test } = jestGlobals;

const RETENTION_MS = 60_000;

const EARLIER = [{ id: 't1', offset: 7, writer: 'vm-1:80', writtenAt: 1_000 }];

describe('Gateway', () => {
  test('a turn is kept together with the chain that it goes on from', async () => {
    const hints: turns.TurnHints[] = [];
    const kept: turns.Turn[] = [];
    const store: turns.TurnStore = {
      history: async (_turn, _workspace, given) => {
        hints.push(given);
        return trueMyth.Result.ok({ contents: [Buffer.from('before;')], turns: EARLIER });
      },
      keep: async (turn) => {
        kept.push(turn);
        return trueMyth.Result.ok(undefined);
      },
    };
    const transport = new scriptedTransport.ScriptedTransport([fixtures.streamEvents([1], 'end')]);
    const parts = fixtures.createParts(transport, [fixtures.createTarget('one')], { turns: store });
    const place = { program: 'p', budgetTokens: undefined, previousTurn: 't1' };
    const reply = new recordedReply.RecordedReply();
    await createGateway(parts).handle(fixtures.createCall(parts.clock, { place }), reply);
    expect(reply.outcome).toBe('ended');
    expect(Buffer.from(transport.sent[0]!.request.body).toString()).toBe('before;body');
    expect(hints).toEqual([{ writer: undefined, retentionMs: RETENTION_MS }]);
    expect(kept).toHaveLength(1);
    expect(kept[0]).toMatchObject({ earlier: EARLIER, previous: 't1', retentionMs: RETENTION_MS });
  });
});

function createGateway(parts: fixtures.Parts): gateway.Gateway {
  const tables = new tablesHolder.TablesHolder(parts.logger);
  const route = fixtures.createRoute({
    kind: routeKinds.ROUTE_KINDS.STREAM,
    keepsTurns: true,
    retentionMs: RETENTION_MS,
  });
  tables.offer(createTables(route));
  const measured = { observeCall: () => undefined, observeFirstToken: () => undefined };
  return new gateway.Gateway({
    ...parts,
    tables,
    allowances: { admit: () => Promise.reject(new Error('No limit is asked for.')) },
    budgets: {} as gateway.GatewayParts['budgets'],
    metrics: measured as unknown as metrics.Metrics,
  });
}

function createTables(route: Route): Parameters<tablesHolder.TablesHolder['offer']>[0] {
  return {
    version: 1,
    routes: [route],
    pools: new Map(),
    workspacesByKey: new Map(),
    workspaces: new Map(),
    needsKeys: false,
    callerLimits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  };
}
