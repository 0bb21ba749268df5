import * as promClient from 'prom-client';
import type { CallOutcome, LogCallMeasurement, Metrics } from './Types.js';

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Upper bounds of histogram buckets, in seconds. They include the objectives for the time to the
 * first token (0.48) and for the time between tokens (0.065).
 */
const FIRST_TOKEN_BUCKETS_SECONDS = [0.05, 0.1, 0.2, 0.3, 0.48, 0.75, 1, 2, 5, 15];
const BETWEEN_TOKENS_BUCKETS_SECONDS = [0.005, 0.01, 0.02, 0.04, 0.065, 0.1, 0.2, 0.5, 1, 5];
const LONG_DURATION_BUCKETS_SECONDS = [0.1, 0.5, 1, 2, 5, 10, 30, 60, 120, 600, 3_600, 86_400];

/** Range from the duration of a healthy call (10 ms) to the time limit of a call (1 s). */
const LOG_CALL_BUCKETS_SECONDS = [0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1];

/** Maximum number of workspaces with a label of their own; the others share `OTHER_LABEL`. */
const MAXIMUM_WORKSPACE_LABELS = 64;

const OTHER_LABEL = 'other';

/** Interval between samples of the event loop. It is long, as each sample wakes the process. */
const EVENT_LOOP_PRECISION_MS = 1_000;

/** The metrics of a VM process, implemented with prom-client. */
export class VmMetrics implements Metrics {
  private readonly registry = new promClient.Registry();

  private readonly workspaceLabels = new Set<string>();

  private readonly firstTokenSeconds = this.histogram(
    'limpettack_first_token_seconds',
    'Time from the request to the first token.',
    ['route'],
    FIRST_TOKEN_BUCKETS_SECONDS,
  );

  private readonly betweenTokensSeconds = this.histogram(
    'limpettack_between_tokens_seconds',
    'Time between two tokens of an answer.',
    ['route'],
    BETWEEN_TOKENS_BUCKETS_SECONDS,
  );

  private readonly callSeconds = this.histogram(
    'limpettack_call_seconds',
    'Time from the request to the end of the answer.',
    ['route', 'workspace_class'],
    LONG_DURATION_BUCKETS_SECONDS,
  );

  private readonly programSeconds = this.histogram(
    'limpettack_program_seconds',
    'Time from the opening of a program to its end.',
    ['route'],
    LONG_DURATION_BUCKETS_SECONDS,
  );

  private readonly callsTotal = this.counter('limpettack_calls_total', 'Calls by outcome.', [
    'route',
    'outcome',
  ]);

  private readonly refusalsTotal = this.counter('limpettack_refusals_total', 'Refusals by kind.', [
    'kind',
  ]);

  private readonly heldTurnsTotal = this.counter(
    'limpettack_held_turns_total',
    'Turns whose output was held back until their budget was recorded.',
    [],
  );

  private readonly admissionsTotal = this.counter(
    'limpettack_admissions_total',
    'Answers of the limits by workspace.',
    ['workspace', 'answer'],
  );

  private readonly logCallSeconds = this.histogram(
    'limpettack_log_call_seconds',
    "Time of a call of the platform's log.",
    ['call', 'topic', 'outcome'],
    LOG_CALL_BUCKETS_SECONDS,
  );

  private readonly logBytesTotal = this.counter(
    'limpettack_log_bytes_total',
    "Bytes of values sent to and received from the platform's log.",
    ['call', 'topic'],
  );

  public constructor() {
    promClient.collectDefaultMetrics({
      register: this.registry,
      eventLoopMonitoringPrecision: EVENT_LOOP_PRECISION_MS,
    });
  }

  /** @inheritdoc */
  public observeFirstToken(route: string, durationMs: number): void {
    this.firstTokenSeconds.observe({ route }, durationMs / MILLISECONDS_PER_SECOND);
  }

  /** @inheritdoc */
  public observeBetweenTokens(route: string, durationMs: number): void {
    this.betweenTokensSeconds.observe({ route }, durationMs / MILLISECONDS_PER_SECOND);
  }

  /** @inheritdoc */
  public observeCall(
    route: string,
    workspace: string,
    outcome: CallOutcome,
    durationMs: number,
  ): void {
    this.callsTotal.inc({ route, outcome });
    this.callSeconds.observe(
      { route, workspace_class: this.workspaceLabel(workspace) },
      durationMs / MILLISECONDS_PER_SECOND,
    );
  }

  /** @inheritdoc */
  public observeProgram(route: string, durationMs: number): void {
    this.programSeconds.observe({ route }, durationMs / MILLISECONDS_PER_SECOND);
  }

  /** @inheritdoc */
  public countRefusal(kind: string): void {
    this.refusalsTotal.inc({ kind });
  }

  /** @inheritdoc */
  public countHeldTurn(): void {
    this.heldTurnsTotal.inc();
  }

  /** @inheritdoc */
  public countAdmission(workspace: string, answer: 'admitted' | 'refused'): void {
    this.admissionsTotal.inc({ workspace: this.workspaceLabel(workspace), answer });
  }

  /** @inheritdoc */
  public observeLogCall({ bytes, call, outcome, spanMs, topic }: LogCallMeasurement): void {
    this.logCallSeconds.observe({ call, topic, outcome }, spanMs / MILLISECONDS_PER_SECOND);
    this.logBytesTotal.inc({ call, topic }, bytes);
  }

  /** @inheritdoc */
  public gauge(name: string, help: string, read: () => number): void {
    const gauge: promClient.Gauge = new promClient.Gauge({
      name,
      help,
      registers: [this.registry],
      collect: () => {
        gauge.set(read());
      },
    });
  }

  /** @inheritdoc */
  public text(): Promise<string> {
    return this.registry.metrics();
  }

  /** Returns the label for a workspace. Bounds the number of label values for many workspaces. */
  private workspaceLabel(workspace: string): string {
    if (this.workspaceLabels.has(workspace)) return workspace;
    if (this.workspaceLabels.size >= MAXIMUM_WORKSPACE_LABELS) return OTHER_LABEL;
    this.workspaceLabels.add(workspace);
    return workspace;
  }

  private histogram<Label extends string>(
    name: string,
    help: string,
    labelNames: Label[],
    buckets: number[],
  ): promClient.Histogram<Label> {
    return new promClient.Histogram({
      name,
      help,
      labelNames,
      buckets,
      registers: [this.registry],
    });
  }

  private counter<Label extends string>(
    name: string,
    help: string,
    labelNames: Label[],
  ): promClient.Counter<Label> {
    return new promClient.Counter({ name, help, labelNames, registers: [this.registry] });
  }
}
