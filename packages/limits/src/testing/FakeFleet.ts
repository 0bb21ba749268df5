import * as clock from '@limpettack/clock';
import type * as configuration from '@limpettack/configuration';
import * as lifetime from '@limpettack/lifetime';
import * as membership from '@limpettack/membership';
import type * as wire from '@limpettack/wire';
import * as fleetAdmission from '../FleetAdmission.js';
import type { WorkspaceLimit } from '../Types.js';
import * as fakeExchange from './FakeExchange.js';
import * as fakeJournal from './FakeJournal.js';
import * as fakeLog from './FakeLog.js';
import * as fakeNetwork from './FakeNetwork.js';

/** The only workspace of the fake fleet. */
export const WORKSPACE = 'lentes';

const EVENT_LOOP_TURNS = 8;

/** One process of the fleet. */
export interface FakeProcess {
  readonly endpoint: fakeExchange.Endpoint;
  readonly clock: clock.ManualClock;
  readonly journal: fakeJournal.FakeJournal;
  readonly admission: fleetAdmission.FleetAdmission;
}

/** Simulates several VM processes in one Node process, with a fake log, network and clock. */
export class FakeFleet {
  public readonly exchange = new fakeExchange.FakeExchange();

  public readonly log = new fakeLog.FakeLog();

  /** The current processes, one per VM. */
  public readonly processes: FakeProcess[] = [];

  /** Times of all grants, in milliseconds. */
  public readonly grants: number[] = [];

  public now = 0;

  /** Incarnations that are proved to have ended. */
  private readonly provedEnded = new Set<string>();

  private readonly changes = new lifetime.Emitter<configuration.ConfigurationState>();

  private incarnations = 0;

  public constructor(
    size: number,
    private limit: WorkspaceLimit,
  ) {
    for (let index = 0; index < size; index += 1) this.processes.push(this.start(`vm-${index}`));
  }

  /** Changes the workspace's limit on all VMs at once. */
  public setLimit(limit: WorkspaceLimit): void {
    this.limit = limit;
    this.changes.fire(this.configuration());
  }

  /** Advances the time of all processes that are not paused. */
  public advance(duration: number): void {
    this.now += duration;
    this.processes.forEach((process) => this.advanceClock(process));
  }

  public pause(index: number): void {
    this.processes[index]!.endpoint.isPaused = true;
  }

  public resume(index: number): void {
    const process = this.processes[index]!;
    process.endpoint.isPaused = false;
    this.advanceClock(process);
  }

  /** Ends a process abruptly. */
  public kill(index: number): void {
    this.processes[index]!.endpoint.isEnded = true;
  }

  /** Drops a VM whose process has ended from the platform's list. */
  public dropFromList(index: number): void {
    const { isEnded, self } = this.processes[index]!.endpoint;
    if (isEnded) this.provedEnded.add(self.incarnation);
  }

  /** Restarts a VM's process with a later incarnation. */
  public restart(index: number): void {
    const { endpoint } = this.processes[index]!;
    endpoint.isEnded = true;
    this.provedEnded.add(endpoint.self.incarnation);
    this.processes[index] = this.start(endpoint.self.name);
  }

  /** Makes a process claim the shard, with or without a standby. */
  public claim(index: number, standby?: number): void {
    const { endpoint, journal } = this.processes[index]!;
    if (endpoint.isEnded || endpoint.isPaused) return;
    const holder = standby === undefined ? undefined : this.processes[standby]!.endpoint.self;
    journal.claim(holder);
  }

  /** Makes a process read the log to its tail. */
  public read(index: number): void {
    const { endpoint, journal } = this.processes[index]!;
    if (!endpoint.isEnded && !endpoint.isPaused) journal.read();
  }

  /** Makes a process read the log and claim the shard, and then all processes read the claim. */
  public claimAndRead(index: number, standby?: number): void {
    this.read(index);
    this.claim(index, standby);
    this.processes.forEach((process, reader) => this.read(reader));
  }

  /** Runs enough turns of the event loop for all processes to wait for messages or time. */
  public async settle(): Promise<void> {
    for (let turn = 0; turn < EVENT_LOOP_TURNS; turn += 1) {
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  }

  /** Delivers messages and their responses for a duration in milliseconds. */
  public async run(duration: number, step = 1): Promise<void> {
    for (let passed = 0; passed < duration; passed += step) {
      this.exchange.deliverAll();
      await this.settle();
      this.advance(step);
    }
  }

  private advanceClock(process: FakeProcess): void {
    const { endpoint } = process;
    if (endpoint.isPaused || endpoint.isEnded) return;
    process.clock.advance(this.now - process.clock.now());
  }

  private start(name: string): FakeProcess {
    this.incarnations += 1;
    const incarnation = String(this.incarnations).padStart(6, '0');
    const self = { name, incarnation, address: `${name}:1`, failureDomain: 'cumbaya' };
    const endpoint = { self, handlers: new Map(), isPaused: false, isEnded: false };
    const time = new clock.ManualClock();
    time.advance(this.now);
    const journal = new fakeJournal.FakeJournal(this.log, self);
    const network = new fakeNetwork.FakeNetwork(this.exchange, endpoint, time);
    this.exchange.endpoints.set(self.address, endpoint);
    const admission = new fleetAdmission.FleetAdmission({
      network: network as unknown as wire.PeerNetwork,
      journal,
      configuration: { current: () => this.configuration(), onChange: this.changes.event },
      membership: this.membershipOf(self),
      clock: time,
      logger: { debug() {}, info() {}, warn() {}, error() {} },
    });
    admission.onDecision(({ granted }) => {
      if (granted) this.grants.push(this.now);
    });
    journal.hook = admission;
    return { endpoint, clock: time, journal, admission };
  }

  private membershipOf(self: wire.PeerIdentity) {
    const { AVAILABLE, GONE } = membership.MEMBER_STATES;
    const members = () =>
      this.processes.map(({ endpoint }) => {
        const isGone = this.provedEnded.has(endpoint.self.incarnation);
        const state = isGone ? GONE : AVAILABLE;
        return { ...endpoint.self, state, listed: true, leaving: false };
      });
    return {
      self,
      members,
      find: (name: string) => members().find((member) => member.name === name),
      hasEnded: (name: string, incarnation: string) => this.provedEnded.has(incarnation),
      onChange: new lifetime.Emitter<membership.Member>().event,
    };
  }

  private configuration(): configuration.ConfigurationState {
    const workspaces = new Map([[WORKSPACE, { name: WORKSPACE, ...this.limit }]]);
    return { workspaces } as unknown as configuration.ConfigurationState;
  }
}
