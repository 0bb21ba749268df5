import type * as clock from '@limpettack/clock';
import * as routeKinds from './RouteKinds.js';
import type * as routeTimes from './RouteTimes.js';
import * as sampleKinds from './SampleKinds.js';
import type { Route, SampleKind } from './Types.js';

/** A stream needs this number of chunks to be measured. */
const MINIMUM_CHUNKS = 3;

/** The statuses of successful responses. */
const OK = 200;
const REDIRECT = 300;

/** What a response shows of its target. */
export interface ResponseSample {
  /** The time between chunks in milliseconds, or the ratio to the response time of the route. */
  readonly value: number;
  readonly kind: SampleKind;
}

/** Dependencies of a measurement. */
export interface ResponseMeasurementOptions {
  readonly route: Pick<Route, 'kind' | 'name'>;
  readonly times: routeTimes.RouteTimes;
  readonly clock: clock.Clock;
}

/**
 * Measures a response: the mean time between the chunks of a stream, or the response time of a unary
 * request relative to its route. The load that this addresses: a VM rarely sends to the same target,
 * so each response has to be comparable with those that other VMs get.
 */
export class ResponseMeasurement {
  private readonly startedAt: clock.Milliseconds;

  private firstChunkAt: clock.Milliseconds | undefined;

  private lastChunkAt = 0;

  private chunks = 0;

  private isSuccessful = false;

  /** A response that is not read continuously takes as long as its reader. */
  private hasPaused = false;

  public constructor(private readonly options: ResponseMeasurementOptions) {
    this.startedAt = options.clock.now();
  }

  public recordHead(status: number): void {
    this.isSuccessful = status >= OK && status < REDIRECT;
  }

  public recordChunk(): void {
    this.lastChunkAt = this.options.clock.now();
    this.firstChunkAt ??= this.lastChunkAt;
    this.chunks += 1;
  }

  public recordPause(): void {
    this.hasPaused = true;
  }

  /** Returns the sample of a response that has ended normally, if it can be measured. */
  public finish(): ResponseSample | undefined {
    if (!this.isSuccessful || this.hasPaused) return undefined;
    const isStream = this.options.route.kind === routeKinds.ROUTE_KINDS.STREAM;
    const value = isStream ? this.timeBetweenChunks() : this.relativeTime();
    if (value === undefined || !Number.isFinite(value) || value <= 0) return undefined;
    return {
      value,
      kind: isStream ? sampleKinds.SAMPLE_KINDS.STREAM : sampleKinds.SAMPLE_KINDS.UNARY,
    };
  }

  private timeBetweenChunks(): number | undefined {
    if (this.firstChunkAt === undefined || this.chunks < MINIMUM_CHUNKS) return undefined;
    return (this.lastChunkAt - this.firstChunkAt) / (this.chunks - 1);
  }

  private relativeTime(): number | undefined {
    const { clock: time, route, times } = this.options;
    return times.record(route.name, time.now() - this.startedAt);
  }
}
