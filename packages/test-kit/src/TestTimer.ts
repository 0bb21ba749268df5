import * as clock from '@limpettack/clock';

/** Runs for a span from its making on, for faults that must last so long. */
export class TestTimer {
  private readonly end: Promise<void>;

  public constructor(spanMs: clock.Milliseconds) {
    this.end = new clock.SystemClock().sleep(spanMs);
  }

  /** Resolves when the span is over. */
  public untilUp(): Promise<void> {
    return this.end;
  }
}
