import * as fakeFleet from './FakeFleet.js';
import * as idealBucket from './IdealBucket.js';

/** One comparison: the limit, the offered load and how it spreads over the VMs. */
export interface Comparison {
  readonly ratePerSecond: number;
  readonly burst: number;
  /** Offered load as a share of the rate. */
  readonly load: number;
  /** Requests that arrive together. */
  readonly together: number;
  /** Share of the requests that all go to one VM. */
  readonly skew: number;
  readonly durationMs: number;
  /** Called each millisecond, to bring failures about. */
  readonly disturb?: (fleet: fakeFleet.FakeFleet, now: number) => void;
  readonly random: () => number;
}

/** What came of a comparison. */
export interface ComparisonResult {
  readonly requests: number;
  readonly refusedByIdeal: number;
  readonly refused: number;
  /** Refused where the ideal bucket admitted this very request, perhaps in place of another. */
  readonly refusedWithinRate: number;
  /** Not answered in time. */
  readonly unanswered: number;
}

const SIZE = 5;
const TIMEOUT_MS = 3_000;

/** Sends the same requests to a fleet and to an ideal bucket. A message takes a millisecond. */
export async function compareWithIdealBucket(comparison: Comparison): Promise<ComparisonResult> {
  const { ratePerSecond, burst, load, together, skew, durationMs, random } = comparison;
  const fleet = new fakeFleet.FakeFleet(SIZE, { ratePerSecond, burst });
  const ideal = new idealBucket.IdealBucket(ratePerSecond, burst);
  const result = { requests: 0, refusedByIdeal: 0, refused: 0, refusedWithinRate: 0 };
  let answered = 0;
  fleet.claimAndRead(0, 1);
  await fleet.run(10);

  function ask(): void {
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
      .then((answer) => {
        if (answer.isErr && answer.error.kind !== 'rate-limited') return;
        answered += 1;
        if (answer.isOk) return;
        result.refused += 1;
        if (isAdmitted) result.refusedWithinRate += 1;
      })
      .catch(() => undefined);
  }

  const arrivalsPerMs = (load * ratePerSecond) / 1_000 / together;
  for (let now = 0; now < durationMs; now += 1) {
    comparison.disturb?.(fleet, now);
    if (random() < arrivalsPerMs) Array.from({ length: together }, ask);
    await fleet.run(1);
  }
  await fleet.run(TIMEOUT_MS, 10);
  return { ...result, unanswered: result.requests - answered };
}
