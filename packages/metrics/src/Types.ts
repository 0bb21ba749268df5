/** How a call ended, for the metrics. */
export type CallOutcome = 'finished' | 'refused' | 'failed' | 'abandoned';

/** A call of the platform's log that has ended. */
export interface LogCallMeasurement {
  readonly call: string;
  readonly topic: string;
  /** Size of the values that were sent or received. */
  readonly bytes: number;
  readonly spanMs: number;
  readonly outcome: string;
}

/** What a VM process counts and times. Spans are in milliseconds. */
export interface Metrics {
  observeFirstToken(route: string, spanMs: number): void;
  observeBetweenTokens(route: string, spanMs: number): void;
  observeCall(route: string, workspace: string, outcome: CallOutcome, spanMs: number): void;
  observeProgram(route: string, spanMs: number): void;
  countRefusal(kind: string): void;
  countAdmission(workspace: string, answer: 'admitted' | 'refused'): void;
  /** A call of the platform's log, by kind of call, topic and outcome. */
  observeLogCall(call: LogCallMeasurement): void;
  /** Registers a value that is read when the metrics are. */
  gauge(name: string, help: string, read: () => number): void;
  /** All metrics in the text form of Prometheus. */
  text(): Promise<string>;
}
