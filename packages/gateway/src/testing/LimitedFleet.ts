import * as clock from '@limpettack/clock';
import type * as errors from '@limpettack/errors';
import * as lifetime from '@limpettack/lifetime';
import * as logging from '@limpettack/logging';
import type * as membership from '@limpettack/membership';
import type * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';
import * as ownedTargetLimits from '../OwnedTargetLimits.js';
import * as routeKinds from '../RouteKinds.js';
import * as targetLimits from '../TargetLimits.js';
import * as targetSelector from '../TargetSelector.js';
import * as targetSender from '../TargetSender.js';
import * as unaryCall from '../UnaryCall.js';
import * as fixtures from './gatewayFixtures.js';
import * as recordedReply from './RecordedReply.js';
import type { Exchange, Target, TargetTransport } from '../Types.js';

const TARGETS = ['one', 'two', 'three'];

const STEP_MS = 5;

/** Time that a target takes to respond. */
const RESPONSE_MS = 20;

const WINDOW_MS = 4_000;

/** The routes of the calls allow no repetition, so that no call is sent twice. */
const ROUTE = { kind: routeKinds.ROUTE_KINDS.ONCE, timeoutMs: 1_000 };

const EXCHANGE: Exchange = {
  abort: () => undefined,
  pause: () => undefined,
  resume: () => undefined,
};

/** Replaced in each VM by a transport that reports limits. */
const UNUSED_TRANSPORT: TargetTransport = { send: () => EXCHANGE };

/** A refused call. */
export interface Refusal {
  readonly fault: errors.Fault;
  readonly spanMs: clock.Milliseconds;
}

interface TestVm {
  readonly dependencies: fixtures.TestDependencies;
  readonly limits: targetLimits.TargetLimits;
}

type Handler = (request: unknown) => Promise<unknown>;

/** VMs that send calls to the same targets on a manual clock. Messages arrive at once. */
export interface LimitedFleet {
  /** The limits that targets name in their responses. */
  limits: ReadonlyMap<string, number>;
  isOwnerUnreachable: boolean;
  readonly served: number;
  readonly refusals: readonly Refusal[];
  /** Messages between VMs. */
  readonly messages: number;
  play(load: { readonly seconds: number; readonly callsPerSecond: number }): Promise<void>;
  /** The largest number of requests that a target got in any four seconds from a time on. */
  mostInFourSeconds(target: string, from: clock.Milliseconds): number;
  /** Number of VMs that treat a target as limited. */
  countLimiting(target: string): number;
  /** Takes the owner of a target's limit out of the fleet. */
  removeOwner(target: string): void;
  /** Hides the VM that would own a target's limit from the first VMs. */
  hideOwner(target: string, vmCount: number): void;
  replaceProcess(target: string): void;
}

/** Creates a fleet of VMs. */
export function createLimitedFleet(count: number): LimitedFleet {
  const time = new clock.ManualClock();
  const logger = new logging.PartLogger('test');
  const arrivals = new Map<string, clock.Milliseconds[]>(TARGETS.map((id) => [id, []]));
  const targets = TARGETS.map((id) => fixtures.createTarget(id));
  const changes = new lifetime.Emitter<void>();
  const handlers = new Map<string, Handler>();
  let members = Array.from({ length: count }, (_, index) => ({
    name: `vm-${index}`,
    address: `vm-${index}`,
  })) as unknown as readonly membership.Member[];
  const random = createRandom();
  let calls = 0;
  const refusals: Refusal[] = [];
  let vms: readonly TestVm[] = [];
  let hiddenOwner: string | undefined;
  let hiddenFrom = 0;
  const fleet = {
    limits: new Map<string, number>() as ReadonlyMap<string, number>,
    isOwnerUnreachable: false,
    served: 0,
    messages: 0,
    refusals,
    play,
    mostInFourSeconds,
    countLimiting: (target: string) => vms.filter((vm) => vm.limits.isLimited(byId(target))).length,
    removeOwner,
    hideOwner: (target: string, vmCount: number) => {
      hiddenOwner = ownerOf(target)?.name;
      hiddenFrom = vmCount;
      changes.fire();
    },
    replaceProcess: (target: string) =>
      vms.forEach(({ dependencies }) =>
        dependencies.registry.update({ ...byId(target), incarnation: '2' }),
      ),
  };
  vms = members.map((self) => createVm(self));
  return fleet;

  function byId(id: string): Target {
    return targets.find((target) => target.id === id)!;
  }

  function createVm(self: membership.Member): TestVm {
    const network = {
      self,
      serve: (method: { name: string }, handler: Handler) => {
        handlers.set(`${self.address} ${method.name}`, handler);
        return { dispose: () => undefined };
      },
      request: async (address: string, method: { name: string }, request: unknown) => {
        fleet.messages += 1;
        const handler = handlers.get(`${address} ${method.name}`);
        if (handler !== undefined && !fleet.isOwnerUnreachable) return handler(request);
        return trueMyth.Result.err({ kind: 'timeout', message: 'scripted' });
      },
    } as unknown as wire.PeerNetwork;
    const vmMembership = {
      available: () => seenBy(self),
      onChange: changes.event,
    } as unknown as Pick<membership.Membership, 'available' | 'onChange'>;
    const dependencies = fixtures.createDependencies(UNUSED_TRANSPORT, targets);
    const { registry, scores } = dependencies;
    const options = { network, membership: vmMembership, registry, clock: time, logger };
    const owner = new ownedTargetLimits.OwnedTargetLimits(options);
    const limits = new targetLimits.TargetLimits({ ...options, owner });
    const selector = new targetSelector.TargetSelector({
      registry,
      scores,
      limits,
      rules: fixtures.NO_RULES,
      clock: time,
      ownFailureDomain: 'a',
      random,
    });
    const transport: TargetTransport = {
      send: (target, _request, handler) => {
        arrivals.get(target.id)!.push(time.now());
        const timer = time.startTimer(RESPONSE_MS, () => {
          limits.observe(target, fleet.limits.get(target.id));
          handler.onHead(fixtures.HEAD);
          handler.onEnd();
        });
        return { ...EXCHANGE, abort: () => timer.cancel() };
      },
    };
    const sender = new targetSender.TargetSender({ transport, scores, clock: time, logger });
    return { limits, dependencies: { ...dependencies, selector, sender, limits, clock: time } };
  }

  function startCall(): void {
    calls += 1;
    const { dependencies } = vms[calls % vms.length]!;
    const reply = new recordedReply.RecordedReply();
    const startedAt = time.now();
    const context = fixtures.createContext(dependencies, ROUTE, { id: `call-${calls}` });
    new unaryCall.UnaryCall(dependencies, context, reply).run().then(() => {
      if (reply.response !== undefined) fleet.served += 1;
      if (reply.fault !== undefined)
        refusals.push({ fault: reply.fault, spanMs: time.now() - startedAt });
    });
  }

  async function play(load: { seconds: number; callsPerSecond: number }): Promise<void> {
    const intervalMs = 1_000 / load.callsPerSecond;
    const endsAt = time.now() + load.seconds * 1_000;
    let nextCallAt = time.now();
    while (time.now() < endsAt) {
      while (nextCallAt <= time.now() && nextCallAt < endsAt - 1e-6) {
        startCall();
        nextCallAt += intervalMs;
      }
      await settle();
      time.advance(STEP_MS);
      await settle();
    }
    // The last calls end.
    for (let step = 0; step < RESPONSE_MS / STEP_MS; step += 1) {
      time.advance(STEP_MS);
      await settle();
    }
  }

  function mostInFourSeconds(target: string, from: clock.Milliseconds): number {
    const times = arrivals.get(target)!.filter((arrivedAt) => arrivedAt >= from);
    const counts = times.map(
      (start) => times.filter((other) => other >= start && other < start + WINDOW_MS).length,
    );
    return Math.max(0, ...counts);
  }

  function seenBy(self: membership.Member): readonly membership.Member[] {
    if (members.indexOf(self) >= hiddenFrom) return members;
    return members.filter(({ name }) => name !== hiddenOwner);
  }

  function ownerOf(target: string): membership.Member | undefined {
    const { id, incarnation } = byId(target);
    return ownedTargetLimits.ownerOf(id, incarnation, members);
  }

  function removeOwner(target: string): void {
    const owner = ownerOf(target);
    const index = members.findIndex(({ name }) => name === owner?.name);
    vms = vms.filter((_, position) => position !== index);
    members = members.filter((_, position) => position !== index);
    changes.fire();
  }
}

function createRandom(): () => number {
  let state = 1;
  return () => {
    state = (state * 16_807) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}

async function settle(): Promise<void> {
  for (let turn = 0; turn < 2; turn += 1) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}
