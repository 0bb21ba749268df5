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

/** Options of a VM of a test fleet. */
export interface FleetVmOptions {
  readonly name: string;
  readonly failureDomain: string;
  readonly callersPort: number;
  readonly peersPort: number;
  readonly operatorsPort: number;
  readonly peersSecret: string;
  readonly operatorsToken: string;
  /** URL under which the VM reaches the platform. */
  readonly platformUrl: string;
  /** The proxy between peers and this VM; undefined if peers connect directly. */
  readonly peersProxy: faultProxy.FaultProxy | undefined;
  /** The proxy between the VM and the platform; undefined if the VM connects directly. */
  readonly platformProxy: faultProxy.FaultProxy | undefined;
  /** Merged into the default settings, section by section. */
  readonly settings: SettingsSections;
  readonly environment: Readonly<Record<string, string>>;
  /** Directory in which the settings file is written. */
  readonly directory: string;
}

/** A VM process of a test fleet. It keeps its ports across restarts. */
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

  /** URL of the VM's port for callers. */
  public get url(): string {
    return `http://${HOST}:${this.options.callersPort}`;
  }

  /** URL of the VM's port for operators. */
  public get operatorsUrl(): string {
    return `http://${HOST}:${this.options.operatorsPort}`;
  }

  /** The address under which peers reach the VM, as `host:port`. */
  public get peersAddress(): string {
    return this.options.peersProxy?.address ?? `${HOST}:${this.options.peersPort}`;
  }

  /** The proxy between peers and this VM. Throws if the fleet has no peer proxies. */
  public get peersProxy(): faultProxy.FaultProxy {
    return required(this.options.peersProxy, `${this.name} has no proxy for peers`);
  }

  /** The proxy between the VM and the platform. Throws if the fleet has no platform proxies. */
  public get platformProxy(): faultProxy.FaultProxy {
    return required(this.options.platformProxy, `${this.name} has no proxy to the platform`);
  }

  /** The process. Throws before the first start. */
  public get process(): runningProcess.RunningProcess {
    return required(this.running, `${this.name} has not been started`);
  }

  /** Starts the process, or restarts it after it has ended. Throws if it is running. */
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

  /** Kills the process with SIGKILL and starts it again. */
  public async restart(): Promise<void> {
    this.process.kill('SIGKILL');
    await this.process.exited;
    await this.start();
  }

  /** Whether the VM's readiness check for the load balancer succeeds. */
  public async isReady(): Promise<boolean> {
    const response = await undici.request(`${this.operatorsUrl}/readyz`, { reset: true });
    await response.body.dump();
    return response.statusCode === STATUS_OK;
  }

  /** Returns this VM's view of the fleet. */
  public async describeFleet(): Promise<FleetDescription> {
    return (await this.askOperators('GET', 'fleet')) as FleetDescription;
  }

  /** Sends a request to a resource below `/v1/operators/` on the operators' port. */
  public async askOperators(method: 'GET' | 'POST', resource: string, body?: unknown) {
    const response = await undici.request(`${this.operatorsUrl}/v1/operators/${resource}`, {
      method,
      headers: { authorization: `Bearer ${this.options.operatorsToken}` },
      body: body === undefined ? null : JSON.stringify(body),
      reset: true,
    });
    return response.body.json();
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
