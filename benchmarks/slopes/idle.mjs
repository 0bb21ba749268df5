/** Measures the cost of VMs without callers by fleet size, shards, probes and targets. */
import * as configuration from '@limpettack/configuration';
import * as testKit from '@limpettack/test-kit';

import * as fleets from './fleets.mjs';
import * as usage from './usage.mjs';

const FLEET_SIZES = [3, 6, 9, 12, 16];
const SETTLE_MS = 5_000;
const MEASURE_MS = 8_000;
const BASE_VMS = 3;
const SHARD_COUNTS = [12, 24, 48, 96];
const PROBE_INTERVALS_MS = [1_000, 500, 250, 125];
const TARGET_COUNTS = [1, 10, 20, 40];
const EDITS = 4;
const SECOND_MS = 1_000;
const KB = 1_000;
const MIB = 1_048_576;
const PROXIES = { peers: true, platform: true };

function perSecond(used, amount) {
  return (amount * SECOND_MS) / used.durationMs;
}

/** Returns the average processor usage of a VM in percent of a core. */
function corePercent(fleet, used) {
  return (used.totalMs / used.durationMs / fleet.vms.length) * 100;
}

/** Starts a fleet, measures its usage while idle and passes both to `report`. */
async function measure(options, report) {
  const fleet = await fleets.startFleet({ ...options, proxies: PROXIES });
  try {
    await usage.pause(SETTLE_MS);
    const used = await usage.measureUsage(fleet, MEASURE_MS, true);
    await report(fleet, used);
  } finally {
    await fleet.dispose();
  }
}

/** Publishes an edit. Returns the time until it is in effect on every VM, in milliseconds. */
async function measureEdit(fleet, index) {
  const startedAt = performance.now();
  const digest = configuration.keyDigest(`key-${index}`);
  const version = await fleet.publish({
    kind: configuration.CHANGE_KINDS.GIVE_KEY,
    key: { digest, workspace: fleets.WORKSPACE, label: '' },
  });
  await Promise.all(
    fleet.vms.map((vm) =>
      testKit.waitFor(async () => (await vm.describeFleet()).configurationVersion >= version, {
        what: `version ${version} on ${vm.name}`,
        timeoutMs: 20_000,
        intervalMs: 50,
      }),
    ),
  );
  return performance.now() - startedAt;
}

/**
 * Measures processor time, memory and bytes of an idle VM, and the time until edits are in effect,
 * by fleet size.
 */
export async function measureFleetSizes(table) {
  for (const vms of FLEET_SIZES) {
    table.note(`idle fleet of ${vms} VMs`);
    await measure({ vms }, async (fleet, used) => {
      const resident = fleet.vms.map((vm) => usage.residentBytes(vm.process.pid));
      const add = (name, unit, value) => table.add(name, unit, 'VM of the fleet', vms, value);
      add('idle-processor', '% of a core a VM', corePercent(fleet, used));
      add('idle-memory', 'MiB resident a VM', usage.sum(resident) / vms / MIB);
      add('idle-peer-bytes', 'KB/s sent a VM', perSecond(used, used.peers) / vms / KB);
      add('idle-platform-bytes', 'KB/s both ways a VM', perSecond(used, used.platform) / vms / KB);
      const durationsMs = [];
      for (let index = 0; index < EDITS; index += 1)
        durationsMs.push(await measureEdit(fleet, index));
      add('edit-in-force', 'ms to the last VM, worst of 4', Math.max(...durationsMs));
    });
  }
}

/** Measures the cost of a further shard to an idle fleet. */
export async function measureShards(table) {
  for (const shardCount of SHARD_COUNTS) {
    table.note(`idle fleet with ${shardCount} shards`);
    const settings = { journal: { shardCount } };
    await measure({ vms: BASE_VMS, settings }, (fleet, used) => {
      const add = (name, unit, value) => table.add(name, unit, 'shard', shardCount, value);
      add('shard-processor', 'ms/s of the fleet', perSecond(used, used.totalMs));
      add('shard-peer-bytes', 'KB/s of the fleet', perSecond(used, used.peers) / KB);
      add('shard-platform-bytes', 'KB/s of the fleet', perSecond(used, used.platform) / KB);
    });
  }
}

/** Measures the cost of a probe of a peer. */
export async function measureProbes(table) {
  for (const probeIntervalMs of PROBE_INTERVALS_MS) {
    table.note(`idle fleet with a probe each ${probeIntervalMs} ms`);
    const settings = { membership: { probeIntervalMs } };
    await measure({ vms: BASE_VMS, settings }, (fleet, used) => {
      const probes = (BASE_VMS * SECOND_MS) / probeIntervalMs;
      const add = (name, unit, value) => table.add(name, unit, 'probe a second', probes, value);
      add('probe-processor', 'ms/s of the fleet', perSecond(used, used.totalMs));
      add('probe-bytes', 'KB/s of the fleet', perSecond(used, used.peers) / KB);
    });
  }
}

/** Measures the cost of a target in the tables. All targets are one engine under several names. */
export async function measureTargets(table) {
  const fleet = await fleets.startFleet({ vms: BASE_VMS, proxies: { targets: true } });
  try {
    for (const count of TARGET_COUNTS) {
      table.note(`idle fleet with ${count} targets`);
      const tables = configuration.TABLES.parse(
        fleets.createTables(
          fleet.targets.map((target) => target.row),
          count,
          1,
        ),
      );
      await fleet.publish({ kind: configuration.CHANGE_KINDS.REPLACE_TABLES, tables });
      await usage.pause(SETTLE_MS / 2);
      const { proxy } = fleet.targets[0];
      const bytesBefore = proxy.forwardedBytes;
      const connectionsBefore = proxy.acceptedCount;
      const used = await usage.measureUsage(fleet, MEASURE_MS, false);
      const add = (name, unit, value) => table.add(name, unit, 'target', count, value / BASE_VMS);
      add('target-processor', 'ms/s a VM', perSecond(used, used.totalMs));
      add('target-bytes', 'KB/s a VM', perSecond(used, proxy.forwardedBytes - bytesBefore) / KB);
      const connections = proxy.acceptedCount - connectionsBefore;
      add('target-requests', 'requests/s a VM', perSecond(used, connections));
    }
  } finally {
    await fleet.dispose();
  }
}
