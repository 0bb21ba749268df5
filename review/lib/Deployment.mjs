/* eslint import-x/extensions: off, import-x/prefer-default-export: off, no-await-in-loop: off, no-param-reassign: [error, { props: false }], no-restricted-syntax: off, no-use-before-define: [error, { functions: false }] -- as in the benchmarks */
/* global setTimeout */

import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as storeStandIn from './StoreStandIn.mjs';

const ROOT = path.join(import.meta.dirname, '..', '..');
const READY_TIMEOUT_MS = 20_000;
const POLL_MS = 50;
const PORTS_PER_VM = 4;

/** The environment and the command of the deploy file. */
const RUN = ['--max-old-space-size=120', 'target/limpettack-node.cjs'];
const ENVIRONMENT = {
  LIMPETTACK_FLEET_SECRET: 'set-one-secret-for-each-installation',
  ROARR_LOG: 'true',
};

/** The figures of the first deployment's sheet. */
const BOUNDS = {
  SeedLagS: 3,
  ReuseAfterS: 2,
  StableWindowMs: 3_000,
  AckMs: 4_000,
  CatchUpS: 4.6,
  DrainMs: 2_000,
  GraceS: 8,
  LossSlackMs: 200,
  ApplyMs: 2_000,
  DowngradeMs: 250,
  StretchMs: 5_000,
  QuotaWindowS: 5,
  QuotaOvershoot: 0.1,
  QuotaTolerance: 20,
  RecoveryS: 12,
};

export function pause(milliseconds) {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

/** VM processes of the project, and a store for them. */
export class Deployment {
  constructor() {
    this.store = new storeStandIn.StoreStandIn();
    this.vms = [];
    process.on('exit', () => this.vms.forEach(({ child }) => child?.kill('SIGKILL')));
  }

  /** Writes the configuration and the runners' entries, and starts the VMs. */
  async start(count, configuration, runners) {
    this.directory = fs.mkdtempSync(path.join(os.tmpdir(), 'limpettack-review-'));
    const address = await this.store.listen();
    this.store.write('keyed.op', 'config', configuration);
    runners.forEach(({ id, entry }) => this.store.write('keyed.servers', id, entry));
    const ports = await findFreePorts(count * PORTS_PER_VM);
    for (let index = 0; index < count; index += 1) {
      this.addVm(index, ports.slice(index * PORTS_PER_VM, (index + 1) * PORTS_PER_VM), address);
    }
    this.vms.forEach((vm) => this.spawn(vm));
    await Promise.all(this.vms.map(waitUntilReady));
  }

  addVm(index, [callersPort, readyPort, firstPort, controlPort], address) {
    const name = `edge-zone-${1 + (index % 2)}-${1 + index}`;
    const settings = {
      NodeName: name,
      Role: 'limpettack-node',
      MachineClass: 'edge',
      Serves: ['edge', 'control_plane'],
      Ip: '127.0.0.1',
      Zone: `zone-${1 + (index % 2)}`,
      Region: 'region',
      Zones: { 'zone-1': 'region', 'zone-2': 'region' },
      Listen: {
        FrontAddr: `127.0.0.1:${callersPort}`,
        ReadyAddr: `127.0.0.1:${readyPort}`,
        ControlPlane: `127.0.0.1:${controlPort}`,
      },
      PortRange: [firstPort, firstPort],
      Seeds: [...this.vms.map((vm) => vm.controlAddress), `127.0.0.1:${controlPort}`].slice(0, 3),
      Bootstrap: true,
      InTolerance: false,
      Limits: { CpuQuota: 1.35, Cores: 1, MemoryMb: 220, MaxFds: 8200, LinkMbps: 1000, DiskMb: 0 },
      DataDir: null,
      Discovery: 'platform',
      Entry: 'vip',
      HeartbeatMs: 1200,
      FaultTolerance: { Machines: 1, Zones: 0, Regions: 0 },
      Bounds: BOUNDS,
      Platform: {
        Address: address,
        form: 'log',
        WritesPerS: 800,
        ReadsPerS: 2000,
        parts: 8,
        AppendMs: 4,
        PartitionMbS: 20,
        ReadMbS: 80,
        RecordBytes: 262_144,
        RequestBytes: 2_097_152,
        RetentionS: 20,
        PartitionMb: 200,
        MinTtlMs: 1000,
      },
    };
    const settingsFile = path.join(this.directory, `${name}.json`);
    fs.writeFileSync(settingsFile, JSON.stringify(settings));
    const controlAddress = `127.0.0.1:${controlPort}`;
    this.vms.push({ name, settingsFile, callersPort, readyPort, controlAddress });
  }

  spawn(vm) {
    const log = fs.openSync(path.join(this.directory, `${vm.name}.log`), 'a');
    const child = childProcess.spawn(process.execPath, RUN, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, ...ENVIRONMENT, LIMPETTACK_BOOT: vm.settingsFile },
      stdio: ['ignore', log, log],
    });
    fs.closeSync(log);
    Object.assign(vm, {
      child,
      ended: new Promise((resolve) => {
        child.once('exit', (code, signal) => resolve(code ?? signal));
      }),
    });
  }

  /** Ends all processes that were started and removes their files. */
  async stop() {
    this.vms.forEach(({ child }) => child.kill('SIGKILL'));
    await Promise.all(this.vms.map(({ ended }) => ended));
    this.store.close();
    if (process.env.KEEP_LOGS === undefined) fs.rmSync(this.directory, { recursive: true });
    else console.log(this.directory);
  }
}

/** A configuration with the given routes, as the operator writes it. */
export function createConfiguration(routes, services, pool = {}) {
  return {
    Version: 3,
    Routes: routes.map((route) => ({
      Hostname: 'desk.example',
      RouteKind: 'non_idempotent',
      TimeoutMs: 1_500,
      SloMs: 186,
      MaxAttempts: 1,
      Priority: 2,
      Public: true,
      Sticky: false,
      Resumable: false,
      Retained: false,
      ...route,
    })),
    Services: services.map((Name) => ({
      Name,
      MaxConns: 210,
      HealthPath: '/healthz',
      ...pool,
    })),
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 4_194_304,
      HeaderTimeoutMs: 5_000,
      IdleTimeoutMs: 15_000,
    },
  };
}

/** A runner's entry in the store. */
export function createEntry(service, address, index, slots) {
  return {
    Service: service,
    Address: address,
    Zone: `zone-${1 + (index % 2)}`,
    Version: 1,
    Slots: slots,
    State: 'ready',
    ColdLeftMs: 0,
    Seq: 1,
    born: Date.now(),
  };
}

async function findFreePorts(count) {
  const servers = await Promise.all(
    Array.from(
      { length: count },
      () =>
        new Promise((resolve) => {
          const server = net.createServer().listen(0, '127.0.0.1', () => resolve(server));
        }),
    ),
  );
  const ports = servers.map((server) => server.address().port);
  await Promise.all(
    servers.map(
      (server) =>
        new Promise((resolve) => {
          server.close(resolve);
        }),
    ),
  );
  return ports;
}

export async function waitUntilReady({ name, readyPort }) {
  const deadline = Date.now() + READY_TIMEOUT_MS;
  while (Date.now() < deadline) {
    if ((await readiness(readyPort)) === 200) return;
    await pause(POLL_MS);
  }
  throw new Error(`${name} was not ready in time`);
}

function readiness(port) {
  return new Promise((resolve) => {
    const request = http.get({ host: '127.0.0.1', port, path: '/v1/readyz' }, (response) => {
      response.resume();
      response.on('end', () => resolve(response.statusCode));
    });
    request.on('error', () => resolve(undefined));
  });
}
