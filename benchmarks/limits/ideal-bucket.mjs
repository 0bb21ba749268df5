/**
 * Compares the admissions of a fleet with those of one ideal token bucket. The fleet runs in one
 * process and in simulated time: five VMs, one millisecond per message.
 * Run `npm run build` first, then `node benchmarks/limits/ideal-bucket.mjs`.
 */
const MODULE = '../../packages/limits/dist/testing/compareWithIdealBucket.js';

const DURATION_MS = 30_000;
const FAILURE_AT_MS = 10_000;
const TAKEOVER_AT_MS = 12_000;
const LIST_CHANGE_AT_MS = 20_000;

/** Returns a linear congruential generator of values between 0 and 1 that depends on the seed. */
function createRandom(seed) {
  let state = seed;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}

function killOwner(fleet, now) {
  if (now === FAILURE_AT_MS) fleet.kill(0);
  if (now === TAKEOVER_AT_MS) fleet.claimAndRead(1, 2);
  if (now === LIST_CHANGE_AT_MS) fleet.dropFromList(0);
}

function killPair(fleet, now) {
  if (now === FAILURE_AT_MS) [0, 1].forEach((vm) => fleet.kill(vm));
  if (now === TAKEOVER_AT_MS) fleet.claimAndRead(2, 3);
  if (now === LIST_CHANGE_AT_MS) [0, 1].forEach((vm) => fleet.dropFromList(vm));
}

function pauseOwner(fleet, now) {
  if (now === FAILURE_AT_MS) fleet.pause(0);
  if (now === TAKEOVER_AT_MS) fleet.claimAndRead(1, 2);
  if (now === LIST_CHANGE_AT_MS) fleet.resume(0);
}

const SCENARIOS = [
  { name: 'calm', skew: 0 },
  { name: 'all at one VM', skew: 1 },
  { name: 'owner killed', skew: 0, disturb: killOwner },
  { name: 'owner paused', skew: 0, disturb: pauseOwner },
  { name: 'owner and standby killed', skew: 0, disturb: killPair },
];
const LOADS = [
  { ratePerSecond: 100, burst: 5, load: 0.5, together: 1 },
  { ratePerSecond: 100, burst: 20, load: 0.8, together: 1 },
  { ratePerSecond: 100, burst: 40, load: 0.8, together: 4 },
];

async function measure(scenario, load) {
  const comparison = await import(MODULE);
  const settings = { ...load, ...scenario, durationMs: DURATION_MS, random: createRandom(7) };
  const result = await comparison.compareWithIdealBucket(settings);
  const columns = [scenario.name, load.ratePerSecond, load.burst, load.load, result.requests];
  return [...columns, result.refusedByIdeal, result.refused, result.unanswered].join(' | ');
}

const runs = SCENARIOS.flatMap((scenario) => LOADS.map((load) => measure(scenario, load)));
console.log('scenario | rate/s | burst | load | requests | ideal refuses | refused | no answer');
console.log((await Promise.all(runs)).join('\n'));
