import * as clock from '@limpettack/clock';
import * as logging from '@limpettack/logging';
import * as trueMyth from 'true-myth';
import * as callContext from '../CallContext.js';
import * as placementRules from '../PlacementRules.js';
import * as processEnd from '../ProcessEnd.js';
import * as routeKinds from '../RouteKinds.js';
import * as targetRegistry from '../TargetRegistry.js';
import * as targetScores from '../TargetScores.js';
import * as targetSelector from '../TargetSelector.js';
import * as targetSender from '../TargetSender.js';
import type * as streamCall from '../StreamCall.js';
import type * as targetLimits from '../TargetLimits.js';
import type { Script } from './ScriptedTransport.js';
import type {
  ResponseHead,
  Call,
  Route,
  SendFailureKind,
  Target,
  TargetTransport,
} from '../Types.js';

export const HEAD: ResponseHead = {
  status: 200,
  headers: ['signature', 'of the target'],
};

/** No target has a limit. */
const NO_LIMITS: targetLimits.TargetLimiter = {
  exhaustedUntil: () => Number.NEGATIVE_INFINITY,
  isLimited: () => false,
  takeTurn: async () => ({ isGranted: true, waitMs: 0 }),
};

/** No failure domain is evacuated. */
export const NO_RULES = new placementRules.PlacementRules({
  evacuated: { count: 0, has: () => false },
  regions: new Map(),
});

export function createTarget(id: string, changes: Partial<Target> = {}): Target {
  return {
    id,
    pool: 'pool',
    address: '127.0.0.1:1',
    failureDomain: 'a',
    slots: 4,
    isDraining: false,
    incarnation: '1',
    ...changes,
  };
}

export function createRoute(changes: Partial<Route> = {}): Route {
  return {
    name: 'route',
    host: 'host',
    pathPrefix: '/',
    kind: routeKinds.ROUTE_KINDS.REPEATABLE,
    timeoutMs: 1_000,
    latencyObjectiveMs: 50,
    maximumAttempts: 2,
    priority: 1,
    isPublic: true,
    isSticky: false,
    isResumable: false,
    retainsTurns: false,
    retentionMs: 60_000,
    pools: [{ pool: 'pool', weight: 1 }],
    ...changes,
  };
}

export function createCall(time: clock.Clock, changes: Partial<Call> = {}): Call {
  return {
    id: 'call-1',
    method: 'POST',
    host: 'host',
    path: '/path',
    headers: [],
    body: Buffer.from('body'),
    key: undefined,
    timeoutMs: 1_000,
    receivedAt: time.now(),
    programContext: undefined,
    maximumTokens: 100,
    lastEventId: undefined,
    affinity: undefined,
    signal: new AbortController().signal,
    ...changes,
  };
}

export function sendResponse(body: string, status = 200): Script {
  return (handler) => {
    handler.onHead({ ...HEAD, status });
    handler.onData(Buffer.from(body));
    handler.onEnd();
  };
}

export function fail(kind: SendFailureKind, isDisconnect = false): Script {
  return (handler) => handler.onFailure({ kind, reason: 'scripted', isDisconnect });
}

/** Sends events with the given ids, then ends, fails or stalls. */
export function streamEvents(ids: readonly number[], end: 'end' | 'break' | 'hang'): Script {
  return (handler) => {
    handler.onHead(HEAD);
    ids.forEach((id) => handler.onData(eventBytes(id)));
    if (end === 'end') handler.onEnd();
    if (end === 'break') {
      handler.onFailure({ kind: 'lost', reason: 'scripted', isDisconnect: true });
    }
  };
}

export function eventBytes(id: number): Buffer {
  return Buffer.from(`id: ${id}\ndata: text ${id}\n\n`);
}

export interface TestDependencies extends streamCall.StreamCallDependencies {
  readonly registry: targetRegistry.TargetRegistry;
  readonly scores: targetScores.TargetScores;
  readonly processEnd: processEnd.ProcessEnd;
  readonly crashedTargets: string[];
  /** Ids of the requests that targets have completed. */
  readonly completedRequests: string[];
  readonly retainedContents: string[];
}

/** Creates the dependencies of a call over a scripted transport. */
export function createDependencies(
  transport: TargetTransport,
  targets: readonly Target[],
  changes: Partial<TestDependencies> = {},
  rules = NO_RULES,
): TestDependencies {
  const limits = changes.limits ?? NO_LIMITS;
  const time = changes.clock ?? new clock.SystemClock();
  const logger = new logging.PartLogger('test');
  const registry = new targetRegistry.TargetRegistry({
    clock: time,
    logger,
    listUnreliableUntil: () => 0,
  });
  registry.reset(targets);
  const scores = new targetScores.TargetScores(time);
  const crashedTargets: string[] = [];
  const completedRequests: string[] = [];
  const retainedContents: string[] = [];
  return {
    registry,
    scores,
    processEnd: new processEnd.ProcessEnd(),
    crashedTargets,
    completedRequests,
    retainedContents,
    selector: new targetSelector.TargetSelector({
      registry,
      scores,
      limits,
      rules,
      clock: time,
      ownFailureDomain: 'a',
      random: () => 0,
    }),
    limits,
    sender: new targetSender.TargetSender({ transport, scores, clock: time, logger }),
    crashes: {
      recordCrash: (_context, target) => {
        crashedTargets.push(target.id);
      },
      recordCompletion: ({ call }) => {
        completedRequests.push(call.id);
      },
      admit: () => true,
    },
    turns: {
      admit: () => true,
      history: async () => trueMyth.Result.ok({ contents: [], turns: [] }),
      keep: async (turn) => {
        retainedContents.push(Buffer.from(turn.content).toString());
        return trueMyth.Result.ok(undefined);
      },
    },
    clock: time,
    logger,
    ...changes,
  };
}

export function createContext(
  dependencies: TestDependencies,
  route: Partial<Route> = {},
  call: Partial<Call> = {},
): callContext.CallContext {
  return new callContext.CallContext(
    createCall(dependencies.clock, call),
    createRoute(route),
    undefined,
  );
}
