import * as jestGlobals from '@jest/globals';
import * as fastCheck from 'fast-check';
import * as fakeFleet from './testing/FakeFleet.js';

const { describe, test } = jestGlobals;

const SIZE = 4;
const LIMIT = { ratePerSecond: 40, burst: 6 };
const ROUNDING = 1e-6;

interface Action {
  readonly name: string;
  readonly run: (fleet: fakeFleet.FakeFleet) => void | Promise<void>;
}

interface Model {
  requests: number;
}

/** Runs an action, lets its effects come about, and checks the sum of all grants. */
class ActionCommand implements fastCheck.AsyncCommand<Model, fakeFleet.FakeFleet> {
  public constructor(private readonly action: Action) {}

  public check(): boolean {
    return true;
  }

  public async run(model: Model, fleet: fakeFleet.FakeFleet): Promise<void> {
    await this.action.run(fleet);
    await fleet.settle();
    checkGrants(fleet.grants);
  }

  public toString(): string {
    return this.action.name;
  }
}

/** Fails when an ideal bucket, full at first, would not have granted the same. */
function checkGrants(grants: readonly number[]): void {
  let level = LIMIT.burst;
  let last = 0;
  grants.forEach((time) => {
    level = Math.min(LIMIT.burst, level + ((time - last) * LIMIT.ratePerSecond) / 1_000);
    last = time;
    if (level < 1 - ROUNDING) throw new Error(`${grants.length} grants: ${grants.join(' ')}`);
    level -= 1;
  });
}

let requests = 0;

function ask(fleet: fakeFleet.FakeFleet, vm: number, count: number, timeoutMs: number): void {
  const { admission, endpoint } = fleet.processes[vm]!;
  if (endpoint.isEnded || endpoint.isPaused) return;
  for (let index = 0; index < count; index += 1) {
    requests += 1;
    const request = { requestId: `${requests}`, workspace: fakeFleet.WORKSPACE, timeoutMs };
    admission.admit(request).catch(() => undefined);
  }
}

const VM = fastCheck.integer({ min: 0, max: SIZE - 1 });
const STANDBY = fastCheck.option(VM, { freq: 8, nil: undefined });
const PICK = fastCheck.nat(30);

function createCommand(name: string, run: Action['run']): ActionCommand {
  return new ActionCommand({ name, run });
}

const ASK = fastCheck
  .tuple(VM, fastCheck.integer({ min: 1, max: 8 }), fastCheck.constantFrom(30, 2_000))
  .map(([vm, count, timeoutMs]) =>
    createCommand(`ask(${vm}, ${count}, ${timeoutMs})`, (fleet) =>
      ask(fleet, vm, count, timeoutMs),
    ),
  );
const RUN = fastCheck
  .constantFrom(4, 12, 60)
  .map((span) => createCommand(`run(${span})`, (fleet) => fleet.run(span, span / 4)));
const ADVANCE = fastCheck
  .constantFrom(10, 50, 600)
  .map((span) => createCommand(`advance(${span})`, (fleet) => fleet.advance(span)));
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
    const name = fleet.log.claims.at(-1)?.standby?.name;
    const standby = fleet.processes.findIndex(({ endpoint }) => endpoint.self.name === name);
    if (standby < 0) return;
    fleet.claim(standby, vm === standby ? undefined : vm);
    fleet.read(standby);
  }),
);
const READ = VM.map((vm) => createCommand(`read(${vm})`, (fleet) => fleet.read(vm)));
const PAUSE = VM.map((vm) => createCommand(`pause(${vm})`, (fleet) => fleet.pause(vm)));
const RESUME = VM.map((vm) => createCommand(`resume(${vm})`, (fleet) => fleet.resume(vm)));
const KILL = VM.map((vm) => createCommand(`kill(${vm})`, (fleet) => fleet.kill(vm)));
const LIST = VM.map((vm) => createCommand(`list(${vm})`, (fleet) => fleet.dropFromList(vm)));
const RESTART = VM.map((vm) => createCommand(`restart(${vm})`, (fleet) => fleet.restart(vm)));
const OUTAGE = fastCheck.boolean().map((isAvailable) =>
  createCommand(`log(${isAvailable})`, ({ log }) => {
    Object.assign(log, { isAvailable });
  }),
);

const COMMANDS = fastCheck.commands(
  [
    ...[ASK, ASK, ASK, RUN, RUN, RUN, ADVANCE, DELIVER, DELIVER, DELIVER, DROP, CLAIM, READ],
    ...[TAKE_OVER, TAKE_OVER_BY_STANDBY, TAKE_OVER_BY_STANDBY, PAUSE, RESUME, KILL, LIST],
    ...[RESTART, OUTAGE],
  ],
  { size: '+2', maxCommands: 120 },
);

const RUNS = Number(process.env.LIMITS_PROPERTY_RUNS ?? 300);
const SEED = Number(process.env.LIMITS_PROPERTY_SEED ?? 20_261_204);

describe('FleetAdmission', () => {
  test('never grants more than burst and rate, whatever fails', async () => {
    await fastCheck.assert(
      fastCheck.asyncProperty(COMMANDS, async (commands) => {
        const fleet = new fakeFleet.FakeFleet(SIZE, LIMIT);
        fleet.claimAndRead(0, 1);
        await fleet.run(4);
        await fastCheck.asyncModelRun(() => ({ model: { requests: 0 }, real: fleet }), commands);
      }),
      { numRuns: RUNS, seed: SEED, endOnFailure: false },
    );
  });
});
