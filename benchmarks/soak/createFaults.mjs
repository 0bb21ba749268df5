import * as configuration from '@limpettack/configuration';
import * as clock from '@limpettack/clock';

const time = new clock.SystemClock();

/** Longest time in which a VM ends after SIGTERM under load, in milliseconds. */
const SHUTDOWN_LIMIT_MS = 45_000;

/**
 * The faults of a schedule in groups, which are drawn evenly. Each fault has what it needs for
 * itself, so that two faults at a time do not undo each other, and runs from its start to its end.
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
  const needs = `process of ${vm.name}`;
  return [
    {
      name: `kill ${vm.name}`,
      needs,
      async run() {
        vm.process.kill('SIGKILL');
        await vm.process.exited;
        await time.sleep(random.between(0, 4_000));
        await vm.start();
      },
    },
    {
      name: `pause ${vm.name}`,
      needs,
      async run() {
        vm.process.pause();
        await time.sleep(random.between(1_000, 8_000));
        vm.process.resume();
      },
    },
    {
      name: `shut down ${vm.name}`,
      needs,
      async run() {
        vm.process.kill('SIGTERM');
        const limit = new AbortController();
        const tooLate = time.sleep(SHUTDOWN_LIMIT_MS, limit.signal).then(() => undefined);
        const exit = await Promise.race([vm.process.exited, tooLate]);
        limit.abort();
        context.noteShutdown(vm, exit);
        vm.process.kill('SIGKILL');
        await vm.process.exited;
        await vm.start();
      },
    },
  ];
}

function proxyFaults(name, proxyOf, random) {
  const needs = `proxy of ${name}`;
  const during = (what, begin) => ({
    name: `${what} ${name}`,
    needs,
    async run() {
      await begin(proxyOf());
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
  const during = (what, needs, begin, end) => ({
    name: `${what} ${target.name}`,
    needs: `${needs} of ${target.name}`,
    async run() {
      await target.target.setFaults(begin());
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
  const during = (name, begin, end, longestMs = 6_000) => ({
    name,
    needs: name,
    async run() {
      await fleet.platform.setFaults(begin());
      await time.sleep(random.between(500, longestMs));
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
      needs: 'edit',
      async run() {
        const workspace = { name: 'edited', ratePerSecond: random.integer(1, 100), burst: 10 };
        const kind = configuration.CHANGE_KINDS.PUT_WORKSPACE;
        // In an outage no edit is taken; one that was maybe taken is watched by its version.
        const version = await fleet.publish({ kind, workspace }).catch(() => undefined);
        if (version !== undefined) context.noteVersion(version);
      },
    },
  ];
}
