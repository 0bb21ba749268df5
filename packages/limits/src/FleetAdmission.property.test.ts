import * as jestGlobals from '@jest/globals';
import * as fastCheck from 'fast-check';
import type { WorkspaceLimit } from './Types.js';
import * as fakeFleet from './testing/FakeFleet.js';

const { describe, test } = jestGlobals;

const SIZE = 4;
const LIMITS = [
  { ratePerSecond: 1, burst: 5 },
  { ratePerSecond: 40, burst: 6 },
  { ratePerSecond: 150, burst: 12 },
];
const ROUNDING = 1e-6;

interface Action {
  readonly name: string;
  readonly run: (fleet: fakeFleet.FakeFleet) => void | Promise<void>;
}

interface Model {
  readonly limit: WorkspaceLimit;
}

/** Runs an action, waits for its effects, and checks all grants against the limit. */
class ActionCommand implements fastCheck.AsyncCommand<Model, fakeFleet.FakeFleet> {
  public constructor(private readonly action: Action) {}

  public check(): boolean {
    return true;
  }

  public async run(model: Model, fleet: fakeFleet.FakeFleet): Promise<void> {
    await this.action.run(fleet);
    await fleet.settle();
    checkGrants(fleet.grants, model.limit);
  }

  public toString(): string {
    return this.action.name;
  }
}

/** Throws if an ideal bucket, initially full, would not have made the same grants. */
function checkGrants(grants: readonly number[], limit: WorkspaceLimit): void {
  let level = limit.burst;
  let last = 0;
  grants.forEach((time) => {
    level = Math.min(limit.burst, level + ((time - last) * limit.ratePerSecond) / 1_000);
    last = time;
    if (level < 1 - ROUNDING) throw new Error(`${grants.length} grants: ${grants.join(' ')}`);
    level -= 1;
  });
}

let requests = 0;

function sendRequests(
  fleet: fakeFleet.FakeFleet,
  vm: number,
  count: number,
  timeoutMs: number,
): void {
  const { admission, endpoint } = fleet.processes[vm]!;
  if (endpoint.isEnded || endpoint.isPaused) return;
  for (let index = 0; index < count; index += 1) {
    requests += 1;
    const request = { requestId: `${requests}`, workspace: fakeFleet.WORKSPACE, timeoutMs };
    admission.admit(request).catch(() => undefined);
  }
}

function indexOf(fleet: fakeFleet.FakeFleet, holder?: { readonly name: string }) {
  const index = fleet.processes.findIndex(({ endpoint }) => endpoint.self.name === holder?.name);
  return index < 0 ? undefined : index;
}

const VM = fastCheck.integer({ min: 0, max: SIZE - 1 });
const STANDBY = fastCheck.option(VM, { freq: 8, nil: undefined });
const PICK = fastCheck.nat(30);

function createCommand(name: string, run: Action['run']): ActionCommand {
  return new ActionCommand({ name, run });
}

const REQUEST = fastCheck
  .tuple(VM, fastCheck.integer({ min: 1, max: 8 }), fastCheck.constantFrom(30, 2_000))
  .map(([vm, count, timeoutMs]) =>
    createCommand(`request(${vm}, ${count}, ${timeoutMs})`, (fleet) =>
      sendRequests(fleet, vm, count, timeoutMs),
    ),
  );
const RUN = fastCheck
  .constantFrom(4, 12, 60)
  .map((duration) =>
    createCommand(`run(${duration})`, (fleet) => fleet.run(duration, duration / 4)),
  );
const ADVANCE = fastCheck
  .constantFrom(10, 50, 600)
  .map((duration) => createCommand(`advance(${duration})`, (fleet) => fleet.advance(duration)));
const DELIVER = fastCheck
  .tuple(PICK, fastCheck.boolean())
  .map(([pick, keepsCopy]) =>
    createCommand(`deliver(${pick}, ${keepsCopy})`, ({ exchange }) =>
      exchange.deliver(pick % Math.max(1, exchange.waiting), keepsCopy),
    ),
  );
const DROP = PICK.map((pick) =>
  createCommand(`drop(${pick})`, ({ exchange }) =>
    exchange.drop(pick % Math.max(1, exchange.waiting)),
  ),
);
const CLAIM = fastCheck
  .tuple(VM, STANDBY)
  .map(([vm, standby]) =>
    createCommand(`claim(${vm}, ${standby})`, (fleet) =>
      fleet.claim(vm, standby === vm ? undefined : standby),
    ),
  );
const TAKE_OVER = fastCheck
  .tuple(VM, STANDBY)
  .map(([vm, standby]) =>
    createCommand(`claimAndRead(${vm}, ${standby})`, (fleet) =>
      fleet.claimAndRead(vm, standby === vm ? undefined : standby),
    ),
  );
const TAKE_OVER_BY_STANDBY = VM.map((vm) =>
  createCommand(`claimByStandby(${vm})`, (fleet) => {
    const standby = indexOf(fleet, fleet.log.claims.at(-1)?.standby);
    if (standby === undefined) return;
    fleet.claim(standby, vm === standby ? undefined : vm);
    fleet.read(standby);
  }),
);
/** Pauses an owner that has unused tokens. The next owner grants as many as it may. */
const PAUSE_AND_TAKE_OVER = fastCheck
  .tuple(VM, fastCheck.constantFrom(0, 5_000))
  .map(([vm, duration]) =>
    createCommand(`pauseAndTakeOver(${vm}, ${duration})`, async (fleet) => {
      const claim = fleet.log.claims.at(-1)!;
      const [owner, standby] = [claim.owner, claim.standby].map((holder) => indexOf(fleet, holder));
      if (owner === undefined || standby === undefined) return;
      sendRequests(fleet, owner, 1, 30);
      await fleet.run(4);
      fleet.pause(owner);
      fleet.claim(standby, vm === standby ? undefined : vm);
      fleet.read(standby);
      fleet.advance(duration);
      sendRequests(fleet, standby, 12, 30);
      await fleet.run(4);
    }),
  );
/** Ends the owner or the standby while the log is unavailable, and drops it from the list. */
const CRASH_IN_OUTAGE = fastCheck.tuple(fastCheck.boolean(), VM).map(([isOwner, vm]) =>
  createCommand(`crashInOutage(${isOwner}, ${vm})`, async (fleet) => {
    const claim = fleet.log.claims.at(-1)!;
    const index = indexOf(fleet, isOwner ? claim.owner : claim.standby);
    if (index === undefined) return;
    Object.assign(fleet.log, { isAvailable: false });
    fleet.kill(index);
    fleet.dropFromList(index);
    sendRequests(fleet, vm, 12, 2_000);
    await fleet.run(200, 10);
    sendRequests(fleet, vm, 12, 2_000);
    await fleet.run(40, 10);
  }),
);
const REQUEST_AND_RUN = fastCheck.tuple(VM, fastCheck.constantFrom(4, 400)).map(([vm, duration]) =>
  createCommand(`requestAndRun(${vm}, ${duration})`, async (fleet) => {
    sendRequests(fleet, vm, 12, 2_000);
    await fleet.run(duration, duration / 4);
  }),
);
const RESUME_AND_REQUEST = VM.map((vm) =>
  createCommand(`resumeAndRequest(${vm})`, (fleet) => {
    fleet.resume(vm);
    sendRequests(fleet, vm, 12, 30);
  }),
);
const READ = VM.map((vm) => createCommand(`read(${vm})`, (fleet) => fleet.read(vm)));
const PAUSE = VM.map((vm) => createCommand(`pause(${vm})`, (fleet) => fleet.pause(vm)));
const RESUME = VM.map((vm) => createCommand(`resume(${vm})`, (fleet) => fleet.resume(vm)));
const KILL = VM.map((vm) => createCommand(`kill(${vm})`, (fleet) => fleet.kill(vm)));
const DROP_FROM_VM_LIST = VM.map((vm) =>
  createCommand(`dropFromList(${vm})`, (fleet) => fleet.dropFromList(vm)),
);
const RESTART = VM.map((vm) => createCommand(`restart(${vm})`, (fleet) => fleet.restart(vm)));
const OUTAGE = fastCheck.boolean().map((isAvailable) =>
  createCommand(`log(${isAvailable})`, ({ log }) => {
    Object.assign(log, { isAvailable });
  }),
);

const ALL = [
  ...[
    REQUEST,
    REQUEST,
    REQUEST,
    RUN,
    RUN,
    RUN,
    ADVANCE,
    DELIVER,
    DELIVER,
    DELIVER,
    DROP,
    CLAIM,
    READ,
  ],
  ...[
    TAKE_OVER,
    TAKE_OVER_BY_STANDBY,
    TAKE_OVER_BY_STANDBY,
    PAUSE,
    RESUME,
    KILL,
    DROP_FROM_VM_LIST,
  ],
  ...[
    PAUSE_AND_TAKE_OVER,
    PAUSE_AND_TAKE_OVER,
    RESUME_AND_REQUEST,
    RESUME_AND_REQUEST,
    RESTART,
    OUTAGE,
  ],
];
const TAKEOVERS = [PAUSE_AND_TAKE_OVER, RESUME_AND_REQUEST, TAKE_OVER, RESTART, REQUEST_AND_RUN];
const OUTAGES = [...TAKEOVERS, CRASH_IN_OUTAGE, CRASH_IN_OUTAGE, OUTAGE, DROP_FROM_VM_LIST];

const LIMIT = fastCheck.constantFrom(...LIMITS);
const RUNS = Number(process.env.LIMITS_PROPERTY_RUNS ?? 200);
const SEED = Number(process.env.LIMITS_PROPERTY_SEED ?? 20_261_204);

describe('FleetAdmission', () => {
  test.each([
    { name: 'with any failures', kinds: ALL, maxCommands: 100 },
    { name: 'with consecutive takeovers', kinds: TAKEOVERS, maxCommands: 20 },
    { name: 'while the log is unavailable', kinds: OUTAGES, maxCommands: 25 },
  ])('never grants more than burst and rate, $name', async ({ kinds, maxCommands }) => {
    const sequences = fastCheck.commands(kinds, { size: '+2', maxCommands });
    await fastCheck.assert(
      fastCheck.asyncProperty(LIMIT, sequences, async (limit, commands) => {
        const fleet = new fakeFleet.FakeFleet(SIZE, limit);
        fleet.claimAndRead(0, 1);
        await fleet.run(4);
        await fastCheck.asyncModelRun(() => ({ model: { limit }, real: fleet }), commands);
      }),
      { numRuns: RUNS, seed: SEED },
    );
  });
});
