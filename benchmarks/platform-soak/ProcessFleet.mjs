import * as childProcess from 'node:child_process';
import * as events from 'node:events';
import * as fs from 'node:fs/promises';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as timers from 'node:timers/promises';
import * as platformTesting from '@limpettack/platform/testing';
import * as testKit from '@limpettack/test-kit';
import * as undici from 'undici';

const PROGRAM = path.join(import.meta.dirname, '..', '..', 'target', 'limpettack-node.cjs');
const READY_POLL_INTERVAL_MS = 50;
const READY_TIMEOUT_MS = 15_000;
const STOP_TIMEOUT_MS = 7_000;
const GRACE_S = 4;
const MAXIMUM_OUTPUT_CHARACTERS = 2_000;

/** VM processes that run the platform's program. Each has its own connection to a shared store. */
export class ProcessFleet {
  /** @param onExit Called with the VM and a description when a process ends unexpectedly. */
  constructor(log, onExit = () => undefined) {
    this.log = log;
    this.onExit = onExit;
    this.vms = [];
    this.failureDomainCount = 2;
    this.partitionCount = 4;
    this.recordBytes = 262_144;
    this.memoryMb = 200;
    /** Command line arguments of Node.js. */
    this.arguments = [];
    // Otherwise the processes would survive an exception of the soak.
    process.on('exit', () => this.vms.forEach(({ child }) => child?.kill('SIGKILL')));
  }

  async start(count) {
    for (let index = 0; index < count; index += 1) await this.addVm(`vm-${index + 1}`);
    await Promise.all(this.vms.map(waitUntilReady));
  }

  async addVm(name) {
    this.directory ??= await fs.mkdtemp(path.join(os.tmpdir(), 'limpettack-soak-'));
    const [callersPort, readyPort, firstPort, lastPort] = await testKit.findFreePorts(4);
    const store = new platformTesting.FakeStore(this.log);
    const settingsFile = path.join(this.directory, `${name}.json`);
    const settings = {
      NodeName: name,
      Ip: '127.0.0.1',
      Zone: `zone-${1 + (this.vms.length % this.failureDomainCount)}`,
      Listen: { FrontAddr: `127.0.0.1:${callersPort}`, ReadyAddr: `127.0.0.1:${readyPort}` },
      PortRange: [firstPort, lastPort],
      Seeds: this.vms.map((vm) => vm.peersAddress).slice(0, 3),
      Limits: { MemoryMb: this.memoryMb },
      Bounds: { GraceS: GRACE_S },
      Platform: {
        Address: await store.listen(),
        parts: this.partitionCount,
        RecordBytes: this.recordBytes,
      },
    };
    await fs.writeFile(settingsFile, JSON.stringify(settings));
    const vm = {
      name,
      store,
      settings,
      settingsFile,
      callersPort,
      readyPort,
      peersAddress: `127.0.0.1:${lastPort}`,
      hasFault: false,
    };
    this.vms.push(vm);
    this.spawn(vm);
  }

  /** Starts a process for the VM, unless one is running. */
  spawn(vm) {
    if (vm.child !== undefined && !hasEnded(vm.child)) return;
    const child = childProcess.spawn(process.execPath, [...this.arguments, PROGRAM], {
      env: {
        ...process.env,
        LIMPETTACK_BOOT: vm.settingsFile,
        LIMPETTACK_FLEET_SECRET: 'a secret of the soak',
        ROARR_LOG: 'false',
      },
      stdio: ['ignore', 'ignore', 'pipe'],
    });
    let output = '';
    child.stderr.on('data', (data) => {
      output = (output + data).slice(-MAXIMUM_OUTPUT_CHARACTERS);
    });
    child.isExitExpected = false;
    child.startedAt = Date.now();
    child.ended = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        if (!child.isExitExpected) this.onExit(vm, `${code ?? signal} ${output}`);
        resolve(code ?? signal);
      });
    });
    vm.child = child;
  }

  /** Kills a process with SIGKILL and starts a new one after `downMs` milliseconds. */
  async kill(vm, downMs) {
    vm.child.isExitExpected = true;
    vm.child.kill('SIGKILL');
    await vm.child.ended;
    await timers.setTimeout(downMs);
    this.spawn(vm);
  }

  /** Kills a process and starts a new one while its port for callers is taken. */
  async restartWithTakenPort(vm, takenMs) {
    vm.child.isExitExpected = true;
    vm.child.kill('SIGKILL');
    await vm.child.ended;
    const holder = net.createServer((socket) => socket.destroy());
    holder.listen(vm.callersPort, '127.0.0.1');
    await events.once(holder, 'listening');
    this.spawn(vm);
    await timers.setTimeout(takenMs);
    holder.close();
  }

  async dispose() {
    this.vms.forEach(({ child }) => {
      child.isExitExpected = true;
      child.kill('SIGKILL');
    });
    await Promise.all(this.vms.map(({ child }) => child.ended));
    await Promise.all(this.vms.map(({ store }) => store.dispose()));
    await fs.rm(this.directory, { recursive: true });
  }
}

/** Suspends a process with SIGSTOP for `durationMs` milliseconds. */
export async function freeze(vm, durationMs) {
  vm.child.kill('SIGSTOP');
  await timers.setTimeout(durationMs);
  vm.child.kill('SIGCONT');
}

/**
 * Shuts a process down with SIGTERM. Resolves with undefined after a clean exit, otherwise with a
 * description of what happened. The signal is sent after the first HTTP response of the process,
 * because no program can handle it before its runtime is up.
 */
export async function stop(vm) {
  const { child } = vm;
  await waitForResponse(vm, () => true);
  const uptimeMs = Date.now() - child.startedAt;
  child.isExitExpected = true;
  child.kill('SIGTERM');
  const timeout = timers.setTimeout(STOP_TIMEOUT_MS, 'still running');
  const exit = await Promise.race([child.ended, timeout]);
  return exit === 0 ? undefined : `${exit}, SIGTERM sent ${uptimeMs} ms after its start`;
}

/** Sends SIGHUP as soon as the program handles signals, which may be during its start. */
export async function reload({ child }) {
  while (!hasEnded(child) && !(await handlesHangup(child.pid))) await timers.setTimeout(1);
  child.kill('SIGHUP');
}

/** Writes the settings again with a change that a process ignores, and reloads them. */
export async function rewriteSettings(vm, revision) {
  await fs.writeFile(vm.settingsFile, JSON.stringify({ ...vm.settings, revision }));
  await reload(vm);
}

function hasEnded({ exitCode, signalCode }) {
  return exitCode !== null || signalCode !== null;
}

/** Signal 1 is the lowest bit of the mask of handled signals. */
async function handlesHangup(pid) {
  const status = await fs.readFile(`/proc/${pid}/status`, 'utf8').catch(() => '');
  const [, mask = '0'] = /^SigCgt:\s*(\S+)/m.exec(status) ?? [];
  return Number.parseInt(mask.slice(-1), 16) % 2 === 1;
}

function waitUntilReady(vm) {
  return waitForResponse(vm, ({ statusCode }) => statusCode === 200);
}

/** Polls the readiness endpoint of a process until `isAccepted` returns true for a response. */
async function waitForResponse(vm, isAccepted) {
  const deadline = Date.now() + READY_TIMEOUT_MS;
  while (Date.now() < deadline) {
    const url = `http://127.0.0.1:${vm.readyPort}/v1/readyz`;
    const response = await undici.request(url).catch(() => undefined);
    await response?.body.dump();
    if (response !== undefined && isAccepted(response)) return;
    await timers.setTimeout(READY_POLL_INTERVAL_MS);
  }
  throw new Error(`${vm.name} did not give the expected readiness response.`);
}
