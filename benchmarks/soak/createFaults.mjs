import * as configuration from '@limpettack/configuration';
import * as clock from '@limpettack/clock';

const time = new clock.SystemClock();

/** Maximum time from SIGTERM until a VM under load has ended, in milliseconds. */
const SHUTDOWN_TIMEOUT_MS = 45_000;

/**
 * Returns the faults of a schedule in groups that are drawn with equal probability. While a fault
 * runs it holds its resource exclusively, so that two concurrent faults do not undo each other.
 * `run` starts the fault, waits and ends it.
 */
export function createFaults(fleet, random, context) {
  const { vms, targets } = fleet;
  const processes = vms.flatMap((vm) => processFaults(vm, random, context));
  return [
    processes,
    processes,
    vms.flatMap((vm) => proxyFaults(`peers of ${vm.name}`, () => vm.peersProxy, random)),
    vms.flatMap((vm) => proxyFaults(`platform of ${vm.name}`, () => vm.platformProxy, random)),
    targets.flatMap((target) => proxyFaults(target.name, () => target.proxy, random)),
    targets.flatMap((target) => targetFaults(target, random)),
    platformFaults(fleet, random),
    configurationFaults(fleet, random, context),
  ];
}

function processFaults(vm, random, context) {
  const resource = `process of ${vm.name}`;
  return [
    {
      name: `kill ${vm.name}`,
      resource,
      async run() {
        vm.process.kill('SIGKILL');
        await vm.process.exited;
        await time.sleep(random.between(0, 4_000));
        await vm.start();
      },
    },
    {
      name: `pause ${vm.name}`,
      resource,
      async run() {
        vm.process.pause();
        await time.sleep(random.between(1_000, 8_000));
        vm.process.resume();
      },
    },
    {
      name: `shut down ${vm.name}`,
      resource,
      async run() {
        vm.process.kill('SIGTERM');
        const timer = new AbortController();
        const timeout = time.sleep(SHUTDOWN_TIMEOUT_MS, timer.signal).then(() => undefined);
        const exit = await Promise.race([vm.process.exited, timeout]);
        timer.abort();
        context.recordShutdown(vm, exit);
        vm.process.kill('SIGKILL');
        await vm.process.exited;
        await vm.start();
      },
    },
  ];
}

function proxyFaults(name, proxyOf, random) {
  const resource = `proxy of ${name}`;
  const during = (what, start) => ({
    name: `${what} ${name}`,
    resource,
    async run() {
      await start(proxyOf());
      await time.sleep(random.between(500, 5_000));
      await proxyOf().restore();
    },
  });
  return [
    during('cut', (proxy) => proxy.cut()),
    during('black-hole', (proxy) => proxy.blackHoleEstablished()),
    during('silence up', (proxy) => proxy.silence('up')),
    during('silence down', (proxy) => proxy.silence('down')),
    during('delay', (proxy) => proxy.delay(random.between(20, 400))),
    during('truncate', (proxy) => proxy.truncateAfter(random.integer(0, 3_000))),
  ];
}

function targetFaults(target, random) {
  const during = (what, resource, start, end) => ({
    name: `${what} ${target.name}`,
    resource: `${resource} of ${target.name}`,
    async run() {
      await target.target.setFaults(start());
      await time.sleep(random.between(500, 4_000));
      await target.target.setFaults(end);
    },
  });
  return [
    during('refuse', 'refusal', () => ({ refuse: true }), { refuse: false }),
    during('stall', 'stall', () => ({ stallStreams: true }), { stallStreams: false }),
    during('slow', 'delay', () => ({ delayMs: 400 }), { delayMs: 0 }),
    during('error of', 'status', () => ({ status: 503 }), { status: null }),
    during('leaving', 'leaving', () => ({ leaving: true }), { leaving: false }),
    during('drop', 'drop', () => ({ dropAfterChunks: random.integer(0, 6) }), {
      dropAfterChunks: null,
    }),
    during('lose answers of', 'loss', () => ({ loseAnswers: 5 }), { loseAnswers: 0 }),
  ];
}

function platformFaults(fleet, random) {
  const during = (name, start, end, maximumMs = 6_000) => ({
    name,
    resource: name,
    async run() {
      await fleet.platform.setFaults(start());
      await time.sleep(random.between(500, maximumMs));
      await fleet.platform.setFaults(end);
    },
  });
  return [
    during('log outage', () => ({ logOutage: true }), { logOutage: false }),
    during(
      'log loses answers',
      () => ({ loseAnswersProbability: 0.4, seed: random.integer(1, 1_000) }),
      { loseAnswersProbability: 0 },
    ),
    during('slow log', () => ({ logDelayMs: random.between(100, 1_000) }), { logDelayMs: 0 }),
    during('frozen list', () => ({ vmListFrozen: true }), { vmListFrozen: false }),
  ];
}

function configurationFaults(fleet, random, context) {
  return [
    {
      name: 'edit',
      resource: 'edit',
      async run() {
        const workspace = { name: 'edited', ratePerSecond: random.integer(1, 100), burst: 10 };
        const kind = configuration.CHANGE_KINDS.PUT_WORKSPACE;
        // An edit fails during an outage. If it was applied nevertheless, the version checks
        // cover it.
        const version = await fleet.publish({ kind, workspace }).catch(() => undefined);
        if (version !== undefined) context.recordVersion(version);
      },
    },
  ];
}
