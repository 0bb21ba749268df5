import type * as logging from '@limpettack/logging';

/** A log line. */
export interface LogLine {
  readonly message: string;
  readonly fields: logging.LogFields;
}

/** A logger that records its lines. */
export class RecordedLogger implements logging.Logger {
  public readonly lines: LogLine[] = [];

  public debug(message: string, fields: logging.LogFields = {}): void {
    this.lines.push({ message, fields });
  }

  public info(message: string, fields: logging.LogFields = {}): void {
    this.lines.push({ message, fields });
  }

  public warn(message: string, fields: logging.LogFields = {}): void {
    this.lines.push({ message, fields });
  }

  public error(message: string, fields: logging.LogFields = {}): void {
    this.lines.push({ message, fields });
  }
}
