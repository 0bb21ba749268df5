import * as buffer from 'node:buffer';
import * as timers from 'node:timers/promises';
import * as clock from '@limpettack/clock';
import * as logging from '@limpettack/logging';
import * as turns from '@limpettack/turns';
import * as wireTesting from '@limpettack/wire/testing';
import * as verdictsModule from '../soak/Verdicts.mjs';
import * as createAttemptId from './createAttemptId.mjs';
import * as programsModule from './programs.mjs';

const { PROMISES } = verdictsModule;

/** Chains that new programs go on from, over all VMs. */
const CHAINS = 24;

/** Turns of a chain: what the users' programs keep. */
const LEAST_TURNS = 3;
const MOST_TURNS = 14;

/** Bytes of the input of a chain's first turn, and of each later one: what those programs send. */
const FIRST_INPUT_BYTES = 14_000;
const LEAST_INPUT_BYTES = 1_000;
const MOST_INPUT_BYTES = 7_000;

/** Other kept turns in the store, and the bytes of each (24 MB): most listings are of full size. */
const OTHER_TURNS = 4_000;
const OTHER_TURN_BYTES = 6_000;

/** Bytes a second of each VM's way from the store: the links of the users' small VMs. */
const LINK_BYTES_PER_S = 3_000_000;

/** Within this time after power is back each chain must be gone on from: the users' RecoveryS. */
const RECOVERY_MS = 15_000;

/** How long power is away. */
const DOWN_MS = 300;

/** Time for all chains to be kept while nothing is disturbed. */
const KEEP_WITHIN_MS = 20_000;

/** Time for the other turns to be stored, and how long they are kept. */
const STORE_TIMEOUT_MS = 5_000;
const RETENTION_MS = 60_000;

/** Chains of kept turns that new programs go on from after all VMs have lost power. */
export class KeptChains {
  /** @param random Chooses the shapes of the chains only, so that these follow from the seed. */
  constructor({ engines, fleet, log, programs, random, verdicts }) {
    Object.assign(this, { engines, fleet, log, programs, verdicts });
    const inputs = () => [
      FIRST_INPUT_BYTES,
      ...Array.from({ length: random.integer(LEAST_TURNS, MOST_TURNS) - 1 }, () =>
        random.integer(LEAST_INPUT_BYTES, MOST_INPUT_BYTES),
      ),
    ];
    this.shapes = Array.from({ length: CHAINS }, inputs);
  }

  /** Keeps the chains, has all VMs lose power, and judges whether each chain is gone on from. */
  async run() {
    await this.storeOtherTurns();
    const keptBy = Date.now() + KEEP_WITHIN_MS;
    const kept = await Promise.all(this.shapes.map((shape, at) => this.keep(shape, at, keptBy)));
    const chains = kept.filter((chain) => chain !== undefined);
    this.fleet.vms.forEach(({ store }) => {
      store.link.bytesPerSecond = LINK_BYTES_PER_S;
    });
    await Promise.all(this.fleet.vms.map((vm) => this.fleet.kill(vm, DOWN_MS)));
    await this.goOnFromAll(chains);
  }

  /** Fills the store in the way in which VMs do, beside them. */
  async storeOtherTurns() {
    const network = wireTesting.createTestNetwork('other');
    const store = new turns.LoggedTurnStore({
      log: keyedTopics(this.log),
      network,
      clock: new clock.SystemClock(),
      logger: new logging.PartLogger('soak'),
      producer: 'other',
      partitionCount: this.fleet.partitionCount,
      recordBytes: this.fleet.recordBytes,
      cacheBytes: 1,
    });
    const content = buffer.Buffer.alloc(OTHER_TURN_BYTES, 'x');
    const turn = { previous: undefined, workspace: 'w-1', content, retentionMs: RETENTION_MS };
    const results = await Promise.all(
      Array.from({ length: OTHER_TURNS }, (_, at) =>
        store.keep(
          { ...turn, id: createAttemptId.createAttemptId(`other ${at}`) },
          STORE_TIMEOUT_MS,
        ),
      ),
    );
    store.dispose();
    await network.dispose();
    if (results.some(({ isErr }) => isErr)) throw new Error('The other turns were not stored.');
  }

  /** Resolves with the last turn of a chain; nothing when a turn failed, which is judged there. */
  async keep(shape, at, deadline) {
    const chain = { name: `kept-${at}`, turns: shape.length, previous: undefined, history: '' };
    for (let turn = 0; turn < shape.length; turn += 1) {
      const input = `${chain.name} turn ${turn};`.padEnd(shape[turn], 'x');
      const answer = await this.programs.runTurn({ ...chain, input, deadline: () => deadline });
      if (answer === undefined) return undefined;
      chain.history += input + programsModule.dataOf(answer);
      chain.previous = answer.id;
    }
    return chain;
  }

  async goOnFromAll(chains) {
    const backAt = Date.now();
    const latest = backAt + RECOVERY_MS;
    const all = Promise.all(chains.map((chain) => this.goOn(chain, latest)));
    const timeIsOver = timers.setTimeout(RECOVERY_MS, undefined, { ref: false });
    await Promise.race([all, timeIsOver]);
    // What reaches a target later does not count, though callers may hear of it.
    const ran = new Set(this.engines.flatMap(({ runs }) => runs.map(({ attempt }) => attempt)));
    this.verdicts.raise('ms until all chains went on or the time was over', Date.now() - backAt);
    (await all).forEach((tries, at) => {
      const hasRun = tries.some(({ id }) => ran.has(id));
      const { history, turns: count } = chains[at];
      const chain = `${count} turns, ${history.length} bytes`;
      const detail = () => `${chain}, reached no target: ${programsModule.told(chains[at], tries)}`;
      this.verdicts.check(PROMISES.KEPT_TURNS, hasRun, detail);
      this.verdicts.count(hasRun ? 'chains that went on' : 'chains that reached no target');
    });
  }

  /** A new program goes on from a chain; resolves with what it tried. */
  async goOn(chain, latest) {
    const tries = [];
    const turn = { ...chain, name: `${chain.name} again`, input: `${chain.name} goes on;`, tries };
    while (Date.now() < latest) {
      const answer = await this.programs.tryTurn(turn);
      if (answer === undefined || (answer.status === 200 && answer.isWhole)) break;
      await programsModule.pause(answer);
    }
    return tries;
  }
}

/** The log with its topics named as within a VM. */
function keyedTopics(log) {
  const named = ({ topic, partition }) => ({ topic: `keyed.${topic}`, partition });
  return {
    append: (name, ...call) => log.append(named(name), ...call),
    newest: (name, ...call) => log.newest(named(name), ...call),
    read: (name, ...call) => log.read(named(name), ...call),
  };
}
