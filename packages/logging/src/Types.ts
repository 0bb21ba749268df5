/** The fields that a log line may have. The API keys of callers are never logged. */
export interface LogFields {
  readonly request?: string;
  readonly program?: string;
  readonly workspace?: string;
  readonly target?: string;
  readonly route?: string;
  readonly peer?: string;
  readonly shard?: number;
  readonly epoch?: number;
  readonly version?: number;
  readonly offset?: number;
  readonly kind?: string;
  readonly reason?: string;
  readonly count?: number;
  readonly bytes?: number;
  /** Duration of what the line reports, in milliseconds. */
  readonly spanMs?: number;
}

/** Writes the log lines of one part of the process. Each message is a short sentence. */
export interface Logger {
  debug(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
}
