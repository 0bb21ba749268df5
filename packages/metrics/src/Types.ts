/** The outcome of a call, as a metric label. */
export type CallOutcome = 'finished' | 'refused' | 'failed' | 'abandoned';

/** Measurements of a completed call to the platform's log. */
export interface LogCallMeasurement {
  readonly call: string;
  readonly topic: string;
  /** Size of the values that were sent or received, in bytes. */
  readonly bytes: number;
  /** Duration of the call, in milliseconds. */
  readonly spanMs: number;
  readonly outcome: string;
}

/** Records the metrics of a VM process. Durations are in milliseconds. */
export interface Metrics {
  observeFirstToken(route: string, durationMs: number): void;
  observeBetweenTokens(route: string, durationMs: number): void;
  observeCall(route: string, workspace: string, outcome: CallOutcome, durationMs: number): void;
  observeProgram(route: string, durationMs: number): void;
  countRefusal(kind: string): void;
  /** Counts a turn whose output was held back until its budget was recorded. */
  countHeldTurn(): void;
  countAdmission(workspace: string, answer: 'admitted' | 'refused'): void;
  /** Records a call to the platform's log, by kind of call, topic and outcome. */
  observeLogCall(call: LogCallMeasurement): void;
  /** Registers a gauge. `read` returns its value and is called when the metrics are collected. */
  gauge(name: string, help: string, read: () => number): void;
  /** Returns all metrics in the text format of Prometheus. */
  text(): Promise<string>;
}
