import * as clock from '@limpettack/clock';
import * as keyedLog from '@limpettack/keyed-log';
import * as keyedLogTesting from '@limpettack/keyed-log/testing';
import * as lifetime from '@limpettack/lifetime';
import * as logging from '@limpettack/logging';
import * as membership from '@limpettack/membership';
import type * as wire from '@limpettack/wire';
import * as loggedTurnStore from '../LoggedTurnStore.js';
import * as turnMemory from '../TurnMemory.js';
import * as memoryPeers from './MemoryPeers.js';

const PARTITIONS = 4;

/** Time limit for storing a turn. */
const STORE_TIMEOUT_MS = 500;

/** Steps in which the clock is advanced. */
const STEP_MS = 500;

/** How long turns are retained, as in production. */
export const RETENTION_MS = 60_000;

/** The time limit of turns. */
export const LONGEST_RUN_MS = 90_000;

/** Processes that store turns in one log, with a manual clock that tests advance. */
export class TurnFleet implements lifetime.Disposable {
  public readonly log = new keyedLogTesting.MemoryKeyedLog();

  public readonly time = new clock.ManualClock();

  public readonly peers = new memoryPeers.MemoryPeers();

  private readonly stores: loggedTurnStore.LoggedTurnStore[] = [];

  private readonly changes = new lifetime.Emitter<membership.Member>();

  /** The running processes, as all of them see them, by the name of their VM. */
  private readonly running = new Map<string, membership.Member>();

  /** Starts a process with an empty cache. Its wall clock may differ from that of others. */
  public start(name: string, timeOfDayShiftMs = 0): loggedTurnStore.LoggedTurnStore {
    const time = Object.create(this.time) as clock.Clock;
    time.now = () => this.time.now();
    time.timeOfDay = () => this.time.timeOfDay() + timeOfDayShiftMs;
    time.startTimer = (spanMs, onEnd) => this.time.startTimer(spanMs, onEnd);
    const network = this.peers.connect(name);
    const member = createMember(network.self);
    this.running.set(name, member);
    this.changes.fire(member);
    const store = new loggedTurnStore.LoggedTurnStore({
      log: this.log,
      network,
      membership: {
        available: () => [...this.running.values()],
        onChange: this.changes.event,
      },
      clock: time,
      logger: new logging.PartLogger('test'),
      producer: `${name}.${this.stores.length}`,
      partitionCount: PARTITIONS,
      recordBytes: 16_384,
      cacheBytes: 1_000_000,
      memory: new turnMemory.TurnMemory(20_000_000),
    });
    this.stores.push(store);
    return store;
  }

  /**
   * Ends a process, as a kill does. Its VM does not start again by itself.
   * @param isNoticed Whether the other processes notice the change; not if they are paused.
   */
  public stop(name: string, store: loggedTurnStore.LoggedTurnStore, isNoticed = true): void {
    store.dispose();
    const member = this.running.get(name);
    this.running.delete(name);
    if (member !== undefined && isNoticed) this.changes.fire({ ...member, leaving: true });
  }

  /** Runs a turn as the gateway does: reads the history, waits, then stores the new content. */
  public async runTurn(
    store: loggedTurnStore.LoggedTurnStore,
    id: string,
    previous?: string,
    runMs: clock.Milliseconds = 0,
  ): Promise<boolean> {
    const retentionMs = RETENTION_MS;
    const hints = { retentionMs, mostRunMs: runMs };
    const history = previous === undefined ? undefined : await store.history(previous, 'w', hints);
    if (history?.isErr) return false;
    const earlier = history?.value.turns;
    await this.advance(runMs);
    const content = Buffer.from(id);
    const chain = { id, previous, earlier, workspace: 'w', content };
    const turn = { ...chain, retentionMs, maximumRunMs: LONGEST_RUN_MS };
    return (await store.keep(turn, STORE_TIMEOUT_MS)).isOk;
  }

  /**
   * Reads a history without a cache. Resolves with the contents, joined, or the kind of the fault.
   */
  public async find(turn: string): Promise<string> {
    const store = this.start('observer');
    const history = await store.history(turn, 'w', {});
    this.stop('observer', store);
    if (history.isErr) return history.error.kind;
    return history.value.contents.map((content) => Buffer.from(content).toString()).join(' ');
  }

  /** Advances the clock in steps and runs the work that is due after each. */
  public async advance(spanMs: clock.Milliseconds): Promise<void> {
    for (let remainingMs = spanMs; remainingMs > 0; remainingMs -= STEP_MS) {
      this.time.advance(Math.min(remainingMs, STEP_MS));
      await runPendingWork();
    }
  }

  /** Drops the history of all partitions from the log. The newest record of each key remains. */
  public dropHistory(): void {
    this.partitions().forEach((partition) => this.log.compact(partition));
  }

  /** The number of records that remain in the log without its history. */
  public async recordCount(): Promise<number> {
    const pages = await Promise.all(
      this.partitions().map((partition) => this.log.newest(partition)),
    );
    return pages.reduce((sum, page) => sum + (page.isOk ? page.value.records.length : 0), 0);
  }

  /** The number of turns that the log holds. */
  public async storedTurnCount(): Promise<number> {
    const ids: string[] = [];
    const add = ({ records }: keyedLog.NewestPage): void => {
      ids.push(...records.map(({ key }) => key));
    };
    await Promise.all(
      this.partitions().map((name) => keyedLog.visitNewestRecords(this.log, name, 'turn.', add)),
    );
    return ids.length;
  }

  /** @inheritdoc */
  public dispose(): void {
    this.stores.forEach((store) => store.dispose());
  }

  private partitions(): readonly keyedLog.PartitionName[] {
    return Array.from({ length: PARTITIONS }, (_, partition) => ({
      topic: 'kept-turns',
      partition,
    }));
  }
}

function createMember(self: wire.PeerIdentity): membership.Member {
  return { ...self, state: membership.MEMBER_STATES.AVAILABLE, listed: true, leaving: false };
}

/** Runs all pending work that does not wait for the clock. */
function runPendingWork(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}
