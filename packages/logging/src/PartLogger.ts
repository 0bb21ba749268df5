import * as roarr from 'roarr';
import type { LogFields, Logger } from './Types.js';

/** A logger whose lines all start with the prefix of its part. Set ROARR_LOG=true to see them. */
export class PartLogger implements Logger {
  private readonly target;

  public constructor(private readonly part: string) {
    this.target = roarr.Roarr.child({ part });
  }

  /** @inheritdoc */
  public debug(message: string, fields: LogFields = {}): void {
    this.target.debug({ ...fields }, this.prefixed(message));
  }

  /** @inheritdoc */
  public info(message: string, fields: LogFields = {}): void {
    this.target.info({ ...fields }, this.prefixed(message));
  }

  /** @inheritdoc */
  public warn(message: string, fields: LogFields = {}): void {
    this.target.warn({ ...fields }, this.prefixed(message));
  }

  /** @inheritdoc */
  public error(message: string, fields: LogFields = {}): void {
    this.target.error({ ...fields }, this.prefixed(message));
  }

  private prefixed(message: string): string {
    return `${this.part}: ${message}`;
  }
}
