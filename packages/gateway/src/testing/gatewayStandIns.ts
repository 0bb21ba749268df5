import * as lifetime from '@limpettack/lifetime';
import type * as metrics from '@limpettack/metrics';
import * as turns from '@limpettack/turns';
import * as gateway from '../Gateway.js';
import * as currentTables from '../CurrentTables.js';
import * as gatewayFixtures from './gatewayFixtures.js';
import * as recordedBudgets from './RecordedBudgets.js';
import * as recordedLogger from './RecordedLogger.js';
import type { Call, Route, TargetTransport } from '../Types.js';

const TURN_MEMORY_BYTES = 20_000_000;

const NO_METRICS: metrics.Metrics = {
  observeFirstToken: () => undefined,
  observeBetweenTokens: () => undefined,
  observeCall: () => undefined,
  observeProgram: () => undefined,
  countRefusal: () => undefined,
  countHeldTurn: () => undefined,
  countAdmission: () => undefined,
  observeLogCall: () => undefined,
  gauge: () => undefined,
  text: async () => '',
};

/** A gateway over test doubles, and the doubles that tests inspect. */
export interface TestGateway {
  readonly gateway: gateway.Gateway;
  readonly budgets: recordedBudgets.RecordedBudgets;
  readonly logger: recordedLogger.RecordedLogger;
}

/** Creates a gateway with one route over a scripted transport. */
export function createGateway(
  transport: TargetTransport,
  route: Partial<Route>,
  changes: Partial<gateway.GatewayDependencies>,
): TestGateway {
  const logger = new recordedLogger.RecordedLogger();
  const budgets = new recordedBudgets.RecordedBudgets();
  const tables = new currentTables.CurrentTables(logger);
  const workspace = { name: 'w', priority: undefined, ratePerSecond: 0, burst: 0 };
  tables.offer({
    version: 1,
    routes: [gatewayFixtures.createRoute(route)],
    pools: new Map([['pool', { name: 'pool', maximumConnections: 8, tokensPerEvent: 20 }]]),
    workspaces: new Map([['w', workspace]]),
    workspacesByKey: new Map([['key', workspace]]),
    needsKeys: true,
    callerLimits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  });
  const targets = ['one', 'two', 'three'].map((id) => gatewayFixtures.createTarget(id));
  const started = new lifetime.Latch();
  started.open();
  const dependencies = {
    ...gatewayFixtures.createDependencies(transport, targets),
    tables,
    started,
    allowances: { admit: async () => ({ isAdmitted: true }) as const },
    budgets,
    turnMemory: new turns.TurnMemory(TURN_MEMORY_BYTES),
    logger,
    metrics: NO_METRICS,
    ...changes,
  };
  return { gateway: new gateway.Gateway(dependencies), budgets, logger };
}

/** The fields of a call that make it a turn of a program, with the key of the workspace. */
export function turnOf(
  program: string,
  previousTurn?: string,
): Pick<Call, 'key' | 'programContext'> {
  return { key: 'key', programContext: { program, budgetTokens: 1_000, previousTurn } };
}
