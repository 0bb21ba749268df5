import * as buffer from 'node:buffer';
import * as timers from 'node:timers/promises';
import * as clock from '@limpettack/clock';
import * as logging from '@limpettack/logging';
import * as turns from '@limpettack/turns';
import * as wireTesting from '@limpettack/wire/testing';
import * as verdictsModule from '../soak/Verdicts.mjs';
import * as createAttemptId from './createAttemptId.mjs';
import * as programLoad from './ProgramLoad.mjs';

const { PROMISES } = verdictsModule;

/** Chains that new programs continue, over all VMs. */
const CHAINS = 24;

/** Turns of a chain, as many as the users' programs retain. */
const MINIMUM_TURNS = 3;
const MAXIMUM_TURNS = 14;

/** Input bytes of the first turn of a chain and of each later turn, as the users' programs send. */
const FIRST_INPUT_BYTES = 14_000;
const MINIMUM_INPUT_BYTES = 1_000;
const MAXIMUM_INPUT_BYTES = 7_000;

/**
 * Unrelated retained turns in the store and the bytes of each, 24 MB in total, so that most listings
 * of the store are of full size.
 */
const OTHER_TURNS = 4_000;
const OTHER_TURN_BYTES = 6_000;

/** Memory for the lookups of the VM that stores them, of which there are none. */
const TURN_MEMORY_BYTES = 1_000_000;

/** Bandwidth from the store to each VM, in bytes per second, as on the users' small VMs. */
const LINK_BYTES_PER_SECOND = 3_000_000;

/** Time after power returns in which every chain must be continued; the users call it RecoveryS. */
const RECOVERY_MS = 15_000;

/** Duration of the power loss. */
const POWER_LOSS_MS = 300;

/** Time limit for creating all chains, without faults. */
const CREATION_TIMEOUT_MS = 20_000;

/** Time limit for storing an unrelated turn, and the retention of these turns. */
const STORE_TIMEOUT_MS = 5_000;
const RETENTION_MS = 60_000;

/** Checks that new programs can continue chains of retained turns after all VMs have lost power. */
export class RetainedChains {
  /** @param random Chooses only the input sizes, so that they depend on nothing but the seed. */
  constructor({ engines, fleet, log, programs, random, verdicts }) {
    Object.assign(this, { engines, fleet, log, programs, verdicts });
    const chooseInputSizes = () => [
      FIRST_INPUT_BYTES,
      ...Array.from({ length: random.integer(MINIMUM_TURNS, MAXIMUM_TURNS) - 1 }, () =>
        random.integer(MINIMUM_INPUT_BYTES, MAXIMUM_INPUT_BYTES),
      ),
    ];
    this.inputSizes = Array.from({ length: CHAINS }, chooseInputSizes);
  }

  /** Creates the chains, kills all VMs at once and checks that every chain can be continued. */
  async run() {
    await this.storeOtherTurns();
    const deadline = Date.now() + CREATION_TIMEOUT_MS;
    const created = await Promise.all(
      this.inputSizes.map((sizes, index) => this.createChain(sizes, index, deadline)),
    );
    const chains = created.filter((chain) => chain !== undefined);
    this.fleet.vms.forEach(({ store }) => {
      store.link.bytesPerSecond = LINK_BYTES_PER_SECOND;
    });
    await Promise.all(this.fleet.vms.map((vm) => this.fleet.kill(vm, POWER_LOSS_MS)));
    await this.continueAll(chains);
  }

  /** Stores unrelated turns as a VM would, directly and not through the fleet. */
  async storeOtherTurns() {
    const network = wireTesting.createTestNetwork('other');
    const store = new turns.LoggedTurnStore({
      log: withTopicPrefix(this.log),
      network,
      membership: { available: () => [], onChange: () => ({ dispose: () => undefined }) },
      clock: new clock.SystemClock(),
      logger: new logging.PartLogger('soak'),
      producer: 'other',
      partitionCount: this.fleet.partitionCount,
      recordBytes: this.fleet.recordBytes,
      cacheBytes: 1,
      memory: new turns.TurnMemory(TURN_MEMORY_BYTES),
    });
    const content = buffer.Buffer.alloc(OTHER_TURN_BYTES, 'x');
    const turn = { previous: undefined, workspace: 'w-1', content, retentionMs: RETENTION_MS };
    const results = await Promise.all(
      Array.from({ length: OTHER_TURNS }, (_, index) =>
        store.keep(
          { ...turn, id: createAttemptId.createAttemptId(`other ${index}`) },
          STORE_TIMEOUT_MS,
        ),
      ),
    );
    store.dispose();
    await network.dispose();
    if (results.some(({ isErr }) => isErr)) throw new Error('The other turns were not stored.');
  }

  /**
   * Runs the turns of a chain. Resolves with its last turn and history, or with undefined when a
   * turn failed; `runTurn` records that violation.
   */
  async createChain(inputSizes, index, deadline) {
    const chain = {
      name: `kept-${index}`,
      turns: inputSizes.length,
      previous: undefined,
      history: '',
    };
    for (let turn = 0; turn < inputSizes.length; turn += 1) {
      const input = `${chain.name} turn ${turn};`.padEnd(inputSizes[turn], 'x');
      const response = await this.programs.runTurn({ ...chain, input, deadline: () => deadline });
      if (response === undefined) return undefined;
      chain.history += input + programLoad.extractEventData(response);
      chain.previous = response.id;
    }
    return chain;
  }

  async continueAll(chains) {
    const restartedAt = Date.now();
    const deadline = restartedAt + RECOVERY_MS;
    const all = Promise.all(chains.map((chain) => this.continueChain(chain, deadline)));
    const timeout = timers.setTimeout(RECOVERY_MS, undefined, { ref: false });
    await Promise.race([all, timeout]);
    // Runs that reach a target after the time limit are ignored, even if a caller gets a response.
    const ran = new Set(this.engines.flatMap(({ runs }) => runs.map(({ attempt }) => attempt)));
    this.verdicts.raise(
      'ms until all chains went on or the time was over',
      Date.now() - restartedAt,
    );
    (await all).forEach((tries, index) => {
      const hasRun = tries.some(({ id }) => ran.has(id));
      const { history, turns: count } = chains[index];
      const size = `${count} turns, ${history.length} bytes`;
      const detail = () =>
        `${size}, reached no target: ${programLoad.describeTries(chains[index], tries)}`;
      this.verdicts.check(PROMISES.KEPT_TURNS, hasRun, detail);
      this.verdicts.count(hasRun ? 'chains that went on' : 'chains that reached no target');
    });
  }

  /** Continues a chain in a new program until a turn completes; resolves with the tries. */
  async continueChain(chain, deadline) {
    const tries = [];
    const turn = { ...chain, name: `${chain.name} again`, input: `${chain.name} goes on;`, tries };
    while (Date.now() < deadline) {
      const response = await this.programs.tryTurn(turn);
      if (response === undefined || (response.status === 200 && response.isComplete)) break;
      await programLoad.waitBeforeRetry(response);
    }
    return tries;
  }
}

/** Wraps a log so that topics are named without the `keyed.` prefix, as in the code of a VM. */
function withTopicPrefix(log) {
  const prefixed = ({ topic, partition }) => ({ topic: `keyed.${topic}`, partition });
  return {
    append: (name, ...call) => log.append(prefixed(name), ...call),
    newest: (name, ...call) => log.newest(prefixed(name), ...call),
    read: (name, ...call) => log.read(prefixed(name), ...call),
  };
}
