import * as fakeFleet from './FakeFleet.js';
import * as idealBucket from './IdealBucket.js';

/** A comparison: the limit, the offered load and its distribution over the VMs. */
export interface Comparison {
  readonly ratePerSecond: number;
  readonly burst: number;
  /** Offered load as a fraction of the rate. */
  readonly load: number;
  /** Number of requests that arrive at the same time. */
  readonly together: number;
  /** Fraction of the requests that go to one fixed VM. */
  readonly skew: number;
  readonly durationMs: number;
  /** Called each millisecond, to inject failures. */
  readonly disturb?: (fleet: fakeFleet.FakeFleet, now: number) => void;
  readonly random: () => number;
}

/** The result of a comparison. */
export interface ComparisonResult {
  readonly requests: number;
  readonly refusedByIdeal: number;
  readonly refused: number;
  /**
   * Requests that the fleet refused although the ideal bucket admitted them. The fleet may have
   * admitted other requests instead.
   */
  readonly refusedWithinRate: number;
  /** Requests without a result in time. */
  readonly unanswered: number;
}

const SIZE = 5;
const TIMEOUT_MS = 3_000;

/** Sends the same requests to a fleet and to an ideal bucket. Each message takes 1 ms. */
export async function compareWithIdealBucket(comparison: Comparison): Promise<ComparisonResult> {
  const { ratePerSecond, burst, load, together, skew, durationMs, random } = comparison;
  const fleet = new fakeFleet.FakeFleet(SIZE, { ratePerSecond, burst });
  const ideal = new idealBucket.IdealBucket(ratePerSecond, burst);
  const result = { requests: 0, refusedByIdeal: 0, refused: 0, refusedWithinRate: 0 };
  let answered = 0;
  fleet.claimAndRead(0, 1);
  await fleet.run(10);

  function sendRequest(): void {
    result.requests += 1;
    const isAdmitted = ideal.take(fleet.now);
    if (!isAdmitted) result.refusedByIdeal += 1;
    const vm = random() < skew ? 2 : Math.floor(random() * SIZE);
    const { admission, endpoint } = fleet.processes[vm]!;
    const isDown = endpoint.isPaused || endpoint.isEnded;
    const entry = isDown ? fleet.processes[2]!.admission : admission;
    const requestId = `${result.requests}`;
    const request = { requestId, workspace: fakeFleet.WORKSPACE, timeoutMs: TIMEOUT_MS };
    entry
      .admit(request)
      .then((outcome) => {
        if (outcome.isErr && outcome.error.kind !== 'rate-limited') return;
        answered += 1;
        if (outcome.isOk) return;
        result.refused += 1;
        if (isAdmitted) result.refusedWithinRate += 1;
      })
      .catch(() => undefined);
  }

  const arrivalsPerMs = (load * ratePerSecond) / 1_000 / together;
  for (let now = 0; now < durationMs; now += 1) {
    comparison.disturb?.(fleet, now);
    if (random() < arrivalsPerMs) Array.from({ length: together }, sendRequest);
    await fleet.run(1);
  }
  await fleet.run(TIMEOUT_MS, 10);
  return { ...result, unanswered: result.requests - answered };
}
