import * as roarr from 'roarr';
import type { LogFields, Logger } from './Types.js';

/**
 * Logger of one part of the process, such as `home` or `targets`. Prefixes each message with the
 * name of the part and adds it as the field `part`. Set ROARR_LOG=true to see the lines.
 */
export class PartLogger implements Logger {
  private readonly roarrLogger;

  public constructor(private readonly part: string) {
    this.roarrLogger = roarr.Roarr.child({ part });
  }

  /** @inheritdoc */
  public debug(message: string, fields: LogFields = {}): void {
    this.roarrLogger.debug({ ...fields }, this.prefixed(message));
  }

  /** @inheritdoc */
  public info(message: string, fields: LogFields = {}): void {
    this.roarrLogger.info({ ...fields }, this.prefixed(message));
  }

  /** @inheritdoc */
  public warn(message: string, fields: LogFields = {}): void {
    this.roarrLogger.warn({ ...fields }, this.prefixed(message));
  }

  /** @inheritdoc */
  public error(message: string, fields: LogFields = {}): void {
    this.roarrLogger.error({ ...fields }, this.prefixed(message));
  }

  private prefixed(message: string): string {
    return `${this.part}: ${message}`;
  }
}
