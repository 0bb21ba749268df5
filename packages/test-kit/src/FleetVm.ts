import * as fs from 'node:fs/promises';
import * as path from 'node:path';

import type * as lifetime from '@limpettack/lifetime';
import * as undici from 'undici';
import * as yaml from 'yaml';

import type * as faultProxy from './FaultProxy.js';
import type * as runningProcess from './RunningProcess.js';
import * as startProcess from './startProcess.js';
import type { FleetDescription, SettingsSections } from './Types.js';

const HOST = '127.0.0.1';
const STATUS_OK = 200;

/** What a VM of a test fleet is made of. */
export interface FleetVmOptions {
  readonly name: string;
  readonly failureDomain: string;
  readonly callersPort: number;
  readonly peersPort: number;
  readonly operatorsPort: number;
  readonly peersSecret: string;
  readonly operatorsToken: string;
  /** Where the VM reaches the platform. */
  readonly platformUrl: string;
  /** Stands before the VM's port for peers. */
  readonly peersProxy: faultProxy.FaultProxy | undefined;
  /** Stands between the VM and the platform. */
  readonly platformProxy: faultProxy.FaultProxy | undefined;
  /** Added to the settings, section by section. */
  readonly settings: SettingsSections;
  readonly environment: Readonly<Record<string, string>>;
  /** Directory for the settings file. */
  readonly directory: string;
}

/** A VM process of a test fleet. It keeps its ports when it is started again. */
export class FleetVm implements lifetime.Disposable {
  private running: runningProcess.RunningProcess | undefined;

  public constructor(private readonly options: FleetVmOptions) {}

  /** The VM's name. */
  public get name(): string {
    return this.options.name;
  }

  /** The VM's failure domain. */
  public get failureDomain(): string {
    return this.options.failureDomain;
  }

  /** Where callers reach the VM. */
  public get url(): string {
    return `http://${HOST}:${this.options.callersPort}`;
  }

  /** Where operators reach the VM. */
  public get operatorsUrl(): string {
    return `http://${HOST}:${this.options.operatorsPort}`;
  }

  /** Where peers reach the VM, as `host:port`. */
  public get peersAddress(): string {
    return this.options.peersProxy?.address ?? `${HOST}:${this.options.peersPort}`;
  }

  /** Stands before the VM's port for peers. Throws when the fleet was started without. */
  public get peersProxy(): faultProxy.FaultProxy {
    return required(this.options.peersProxy, `${this.name} has no proxy for peers`);
  }

  /** Stands between the VM and the platform. Throws when the fleet was started without. */
  public get platformProxy(): faultProxy.FaultProxy {
    return required(this.options.platformProxy, `${this.name} has no proxy to the platform`);
  }

  /** The process. Throws before the first start. */
  public get process(): runningProcess.RunningProcess {
    return required(this.running, `${this.name} has not been started`);
  }

  /** Starts the process, again when it has ended. */
  public async start(): Promise<void> {
    if (this.running?.isRunning) throw new Error(`${this.name} is running`);
    await this.running?.dispose();
    const file = path.join(this.options.directory, `${this.name}.yaml`);
    await fs.writeFile(file, yaml.stringify(this.settings()));
    this.running = startProcess.launchProcess({
      packageName: 'node',
      main: 'main.js',
      arguments: [file],
      name: this.name,
      environment: this.options.environment,
    });
    await this.running.untilListening(startProcess.DEFAULT_START_TIMEOUT_MS);
  }

  /** Ends the process at once and starts it again. */
  public async restart(): Promise<void> {
    this.process.kill('SIGKILL');
    await this.process.exited;
    await this.start();
  }

  /** Whether the VM answers the balancer that it is ready. */
  public async isReady(): Promise<boolean> {
    const answer = await undici.request(`${this.operatorsUrl}/readyz`, { reset: true });
    await answer.body.dump();
    return answer.statusCode === STATUS_OK;
  }

  /** The fleet as this VM sees it. */
  public async describeFleet(): Promise<FleetDescription> {
    return (await this.askOperators('GET', 'fleet')) as FleetDescription;
  }

  /** Sends a request to the operators' port, at a resource below `/v1/operators/`. */
  public async askOperators(method: 'GET' | 'POST', resource: string, body?: unknown) {
    const answer = await undici.request(`${this.operatorsUrl}/v1/operators/${resource}`, {
      method,
      headers: { authorization: `Bearer ${this.options.operatorsToken}` },
      body: body === undefined ? null : JSON.stringify(body),
      reset: true,
    });
    return answer.body.json();
  }

  /** @inheritdoc */
  public async dispose(): Promise<void> {
    await this.running?.dispose();
  }

  private settings(): SettingsSections {
    const { options } = this;
    const base: SettingsSections = {
      vm: { name: options.name, failureDomain: options.failureDomain },
      callers: { host: HOST, port: options.callersPort },
      peers: {
        host: HOST,
        port: options.peersPort,
        advertisedAddress: this.peersAddress,
        secret: options.peersSecret,
      },
      operators: { host: HOST, port: options.operatorsPort, token: options.operatorsToken },
      platform: { url: options.platformUrl },
    };
    const names = [...Object.keys(base), ...Object.keys(options.settings)];
    return Object.fromEntries(
      names.map((name) => [name, { ...base[name], ...options.settings[name] }]),
    );
  }
}

function required<Value>(value: Value | undefined, message: string): Value {
  if (value === undefined) throw new Error(message);
  return value;
}
