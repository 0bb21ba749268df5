import * as crypto from 'node:crypto';
import * as clock from '@limpettack/clock';
import * as configuration from '@limpettack/configuration';
import * as testKit from '@limpettack/test-kit';
import * as jestGlobals from '@jest/globals';
import * as fleetHelpers from './fleetHelpers.js';
import * as versionWatch from './versionWatch.js';

const { afterAll, beforeAll, describe, expect, test } = jestGlobals;

const IN_EFFECT_TIMEOUT_MS = 5_000;
const SHORT_RETENTION_MS = 8_000;
const RACES = 5;
const EDITS_WITH_LOST_RESPONSES = 5;
const { GIVE_KEY } = configuration.CHANGE_KINDS;
const { MODEL_ROUTE, WORKSPACE } = testKit.FLEET_NAMES;

const time = new clock.SystemClock();

function startTestFleet(platformOptions = {}): Promise<testKit.Fleet> {
  return testKit.startFleet({
    vms: 3,
    failureDomains: ['quito-norte', 'cumbaya', 'tumbaco'],
    proxies: { platform: true },
    settings: { journal: { shardCount: 6 } },
    platformOptions,
  });
}

function publisherFor(fleet: testKit.Fleet): configuration.ConfigurationPublisher {
  const { log } = fleet;
  const stream = configuration.CONFIGURATION_STREAM;
  return new configuration.ConfigurationPublisher({ log, stream, clock: time });
}

/** Publishes a key as an edit that is based on a configuration version. */
async function giveKey(
  publisher: configuration.ConfigurationPublisher,
  key: string,
  basedOn: number,
): Promise<configuration.PublishOutcome> {
  const digest = configuration.keyDigest(key);
  const result = await publisher.publish({
    id: crypto.randomUUID(),
    basedOn,
    author: key,
    change: { kind: GIVE_KEY, key: { digest, workspace: WORKSPACE, label: key } },
  });
  if (result.isErr) throw new Error(result.error.message);
  return result.value;
}

async function currentVersion(publisher: configuration.ConfigurationPublisher): Promise<number> {
  const read = await publisher.reader.readToTail();
  if (read.isErr) throw new Error(read.error.message);
  return read.value.version;
}

/** Waits until a configuration version is in effect and its key is accepted on each of the VMs. */
async function untilInEffect(
  vms: readonly testKit.FleetVm[],
  version: number,
  key: string,
): Promise<void> {
  const caller = new testKit.Caller(key, MODEL_ROUTE);
  await testKit.waitFor(
    async () => {
      const states = await Promise.all(vms.map((vm) => vm.describeFleet()));
      if (states.some((state) => state.configurationVersion < version)) return false;
      const responses = await Promise.all(
        vms.map((vm) => caller.send(vm, 'GET', '/v1/programs/no-such-program')),
      );
      return responses.every((response) => !response.text.includes('key-unknown'));
    },
    { what: `version ${version} on every VM`, timeoutMs: IN_EFFECT_TIMEOUT_MS },
  );
}

/** Checks that the stream holds a single history without gaps and each applied edit once. */
async function expectOneHistory(fleet: testKit.Fleet): Promise<void> {
  const { reader } = publisherFor(fleet);
  expect((await reader.readToTail()).isOk).toBe(true);
  const applied = reader.history.filter((entry) => entry.outcome === 'applied');
  const versions = applied.map((entry) => entry.version);
  expect(versions).toEqual(versions.map((_, index) => (versions[0] ?? 0) + index));
  expect(new Set(applied.map((entry) => entry.edit.id)).size).toBe(applied.length);
  expect(reader.state.version).toBe(versions.at(-1));
}

describe('an accepted configuration takes effect on all VMs and never reverts', () => {
  let fleet: testKit.Fleet;
  let watch: versionWatch.VersionWatch;

  beforeAll(async () => {
    fleet = await startTestFleet();
    await fleetHelpers.untilStandbysReady(fleet);
    watch = new versionWatch.VersionWatch(time, fleet.vms);
  });

  afterAll(async () => {
    await watch.dispose();
    await fleet.dispose();
    expect(watch.sampleCount).toBeGreaterThan(0);
    expect(watch.reversals).toEqual([]);
  });

  test('when operators race: one edit is applied and the others receive a conflict that names it', async () => {
    for (let race = 0; race < RACES; race += 1) {
      const publishers = [publisherFor(fleet), publisherFor(fleet), publisherFor(fleet)];
      const versions = await Promise.all(publishers.map(currentVersion));
      const outcomes = await Promise.all(
        publishers.map((publisher, index) =>
          giveKey(publisher, `racer-${race}-${index}`, versions[index] ?? 0),
        ),
      );
      const winners = outcomes.flatMap((outcome, index) =>
        outcome.kind === 'applied' ? [{ outcome, key: `racer-${race}-${index}` }] : [],
      );
      expect(winners).toHaveLength(1);
      const [winner] = winners;
      const losers = outcomes.filter((outcome) => outcome.kind === 'conflict');
      expect(losers).toHaveLength(2);
      const authors = losers.map((loser) => loser.earlier.map((entry) => entry.edit.author));
      expect(authors).toEqual([[winner?.key], [winner?.key]]);
      await untilInEffect(fleet.vms, winner?.outcome.version ?? 0, winner?.key ?? '');
    }
    await expectOneHistory(fleet);
  });

  test('when the log loses the responses to edits: each is applied once', async () => {
    const publisher = publisherFor(fleet);
    for (let edit = 0; edit < EDITS_WITH_LOST_RESPONSES; edit += 1) {
      const before = await currentVersion(publisher);
      // Appends of the VMs may consume some of the lost responses, so more than one is lost.
      await fleet.platform.setFaults({ loseAnswers: 3 });
      const outcome = await giveKey(publisher, `lost-${edit}`, before);
      expect(outcome).toEqual({ kind: 'applied', version: before + 1 });
      await untilInEffect(fleet.vms, before + 1, `lost-${edit}`);
    }
    await fleet.platform.setFaults({ loseAnswers: 0 });
    await expectOneHistory(fleet);
  });

  test('when the log goes down during an edit', async () => {
    const publisher = publisherFor(fleet);
    const before = await currentVersion(publisher);
    await fleet.platform.setFaults({ logDelayMs: 300 });
    const publishing = giveKey(publisher, 'outage', before);
    await time.sleep(150);
    await fleet.platform.setFaults({ logOutage: true, logDelayMs: 0 });
    await time.sleep(3_000);
    await fleet.platform.setFaults({ logOutage: false });
    expect(await publishing).toEqual({ kind: 'applied', version: before + 1 });
    await untilInEffect(fleet.vms, before + 1, 'outage');
    await expectOneHistory(fleet);
  });

  test('when a VM is cut off from the log but not from its peers', async () => {
    const publisher = publisherFor(fleet);
    const before = await currentVersion(publisher);
    await fleet.vm(1).platformProxy.cut();
    const outcome = await giveKey(publisher, 'cut-off', before);
    expect(outcome).toEqual({ kind: 'applied', version: before + 1 });
    await untilInEffect(fleet.vms, before + 1, 'cut-off');
    await fleet.vm(1).platformProxy.restore();
  });

  test('when a VM is replaced during an outage', async () => {
    const publisher = publisherFor(fleet);
    const before = await currentVersion(publisher);
    await giveKey(publisher, 'replaced', before);
    await untilInEffect(fleet.vms, before + 1, 'replaced');
    await fleet.platform.setFaults({ logOutage: true });
    await fleetHelpers.killVm(fleet.vm(2));
    await fleet.listVms([fleet.vm(0), fleet.vm(1)]);
    await fleet.vm(2).start();
    await fleet.listVms();
    await testKit.waitFor(() => fleet.vm(2).isReady(), { what: 'the new VM to be ready' });
    const state = await fleet.vm(2).describeFleet();
    expect(state.configurationVersion).toBe(before + 1);
    await fleet.platform.setFaults({ logOutage: false });
    const after = await giveKey(publisher, 'back', before + 1);
    expect(after).toEqual({ kind: 'applied', version: before + 2 });
    await untilInEffect(fleet.vms, before + 2, 'back');
    await expectOneHistory(fleet);
  });
});

describe('records of the log that expire', () => {
  let fleet: testKit.Fleet;

  beforeAll(async () => {
    fleet = await startTestFleet({ 'retention-ms': SHORT_RETENTION_MS });
    await fleetHelpers.untilStandbysReady(fleet);
  });

  afterAll(() => fleet.dispose());

  test('do not lose the configuration, even for a VM that starts afterwards', async () => {
    const watch = new versionWatch.VersionWatch(time, fleet.vms);
    const publisher = publisherFor(fleet);
    const before = await currentVersion(publisher);
    await giveKey(publisher, 'expiring', before);
    await untilInEffect(fleet.vms, before + 1, 'expiring');
    const expiry = new testKit.TestTimer(SHORT_RETENTION_MS * 2);
    await expiry.untilElapsed();
    await fleet.vm(1).restart();
    await fleet.untilReady();
    await untilInEffect(fleet.vms, before + 1, 'expiring');
    // A new publisher reads the state from a snapshot and publishes on top of it.
    const later = publisherFor(fleet);
    expect(await currentVersion(later)).toBe(before + 1);
    const outcome = await giveKey(later, 'after-expiry', before + 1);
    expect(outcome).toEqual({ kind: 'applied', version: before + 2 });
    await untilInEffect(fleet.vms, before + 2, 'after-expiry');
    await watch.dispose();
    expect(watch.reversals).toEqual([]);
  });
});
