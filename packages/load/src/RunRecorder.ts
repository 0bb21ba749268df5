import type { Breach, CallRecord, PrefillRecord, ProgramRecord, RunRecord } from './Types.js';

/** Collects the observations of the callers of a run. */
export class RunRecorder implements RunRecord {
  public readonly programs: ProgramRecord[] = [];

  public readonly calls: CallRecord[] = [];

  public readonly prefills: PrefillRecord[] = [];

  public readonly breaches: Breach[] = [];

  /** Adds a program that has ended. */
  public addProgram(record: ProgramRecord): void {
    this.programs.push(record);
  }

  /** Adds a request that got a response or whose connection broke. */
  public addCall(record: CallRecord): void {
    this.calls.push(record);
  }

  /** Adds the token counts of a successful model call. */
  public addPrefill(record: PrefillRecord): void {
    this.prefills.push(record);
  }

  /** Adds a violation of a guarantee. */
  public addBreach(breach: Breach): void {
    this.breaches.push(breach);
  }
}
